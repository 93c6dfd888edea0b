/** Upstreams listed in the directory, and their load as seen by instances. */

/** Registration of one upstream process. */
export type UpstreamEntry = {
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that the upstream handles concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /**
   * End of the cold phase, in which it handles few requests, by the local
   * clock, in ms.
   */
  readonly coldUntilMs: number;
  /** Start of its process, by its own clock, in ms; undefined if not told. */
  readonly bornMs?: number | undefined;
  /**
   * Version of its software, without an order; undefined if not told. What two
   * versions write of one stream does not fit together.
   */
  readonly version?: string | undefined;
};

/** Requests and batch items in flight at an upstream. */
export type InFlightWork = {
  readonly online: number;
  readonly batch: number;
};

/** State of one upstream that the choice is based on. */
export type Candidate = {
  readonly entry: UpstreamEntry;
  /** Work in flight from all instances, as last reported. */
  readonly open: InFlightWork;
  /**
   * Online requests that other instances are likely to have sent between two
   * reports on it.
   */
  readonly unseen: number;
  /** Until this time the upstream is used only as a last resort, in ms. */
  readonly suspectUntilMs: number;
  /** Whether it names a limit on the requests that it takes. */
  readonly isLimited: boolean;
  /**
   * Whether its ramp and the limit that it names allow this instance to send a
   * request now.
   */
  readonly isRateOpen: boolean;
  /** Its time for a request, relative to a usual upstream; 1 if left out. */
  readonly slowness?: number | undefined;
};

/** A request to place, with the upstreams to choose from. */
export type PlaceRequest = {
  readonly candidates: readonly Candidate[];
  /** Ids of the upstreams at which this request has failed. */
  readonly tried: ReadonlySet<string>;
  readonly ownDataCentre: string;
  /** Hash key of the prompt's shared prefix, or of the request. */
  readonly affinityKey: string;
  /** Mean time for which a request occupies a slot, in ms. */
  readonly meanServiceMs: number;
  /** Time left until the first event is due under the objective, in ms. */
  readonly objectiveLeftMs: number;
  /** Longest wait in an upstream's queue that the caller accepts, in ms. */
  readonly maxWaitMs: number;
  readonly nowMs: number;
  /** When it leaves the own data centre; by waits and loads alone if left out. */
  readonly leaving?:
    | {
        /** The data centre that it is meant for. */
        readonly home: string;
        /** Wait that it has to save elsewhere, in ms. */
        readonly costMs: number;
      }
    | undefined;
};

/** Why an upstream takes no request at all. */
export const EXCLUSIONS = {
  draining: "draining",
  tried: "tried",
  /** Its ramp, or the limit that it names, is used up for now. */
  rate: "rate",
} as const;
export type Exclusion = (typeof EXCLUSIONS)[keyof typeof EXCLUSIONS];

/** The chosen upstream, or when one is expected to have room. */
export type Placement =
  | {
      readonly kind: "placed";
      readonly upstream: UpstreamEntry;
      /** Expected wait in the upstream's queue, in ms. */
      readonly waitMs: number;
    }
  /** All upstreams are full; one is expected to have room after `freeInMs`. */
  | { readonly kind: "full"; readonly freeInMs: number }
  /** The service has no upstreams, or all of them are draining. */
  | { readonly kind: "none" };

/** An upstream that was considered. */
export type ConsideredUpstream = {
  readonly upstream: string;
  readonly dataCentre: string;
  readonly online: number;
  readonly batch: number;
  readonly slots: number;
  /** Requests that are likely to be there, but not reported yet. */
  readonly unseen: number;
  readonly slowness: number;
  /** Expected wait there, in ms. */
  readonly waitMs: number;
  /** Age of the oldest report on it, in ms; undefined without any. */
  readonly newsAgeMs: number | undefined;
  /** Why it is not used, or only as a last resort; undefined if it may be. */
  readonly ruledOut: string | undefined;
};

/** What would happen now. */
export type PlaceOutcome =
  | {
      readonly kind: "placed";
      readonly upstream: string;
      readonly waitMs: number;
    }
  | {
      readonly kind: "refused";
      readonly status: number;
      readonly code: string;
      readonly reason: string;
      /** Bounds of the time after which the caller may retry, in ms. */
      readonly retryAfterMs: readonly [number, number] | undefined;
    }
  /** An item waits for a slot. */
  | { readonly kind: "waits" };

/** Where a request or an item would go, as an instance tells it. */
export type PlaceExplanation = {
  readonly instance: string;
  readonly dataCentre: string;
  readonly route: string | undefined;
  readonly service: string | undefined;
  /** The data centre that it is meant for, and what leaving has to save, in ms. */
  readonly home: string | undefined;
  readonly costMs: number | undefined;
  readonly outcome: PlaceOutcome;
  readonly candidates: readonly ConsideredUpstream[];
};
