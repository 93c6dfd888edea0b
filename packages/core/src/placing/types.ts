/** Upstreams as the directory lists them, and their load as instances see it. */

/** One start of an upstream, as it registered itself. */
export type UpstreamEntry = {
  readonly id: string;
  readonly service: string;
  /** IP and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Until then it is slow and bears few requests, on this process's clock. */
  readonly coldUntilMs: number;
};

/** Requests under way at an upstream. */
export type OpenWork = {
  readonly online: number;
  readonly batch: number;
};

/** What a choice between upstreams looks at. */
export type Candidate = {
  readonly entry: UpstreamEntry;
  /** Over all instances, as last heard. */
  readonly open: OpenWork;
  /** Until then it is used only where nothing else is left. */
  readonly suspectUntilMs: number;
  /** Whether the cold ramp lets this instance send one request now. */
  readonly isRampOpen: boolean;
};

/** A request that looks for an upstream. */
export type PlaceRequest = {
  readonly candidates: readonly Candidate[];
  /** Upstreams that this request has failed at. */
  readonly tried: ReadonlySet<string>;
  readonly ownDataCentre: string;
  /** Hash key of the prompt's shared part, or of the request. */
  readonly affinityKey: string;
  /** Mean time that a request holds a slot, in ms. */
  readonly meanServiceMs: number;
  /** Time left to the first event for an answer on time, in ms. */
  readonly objectiveLeftMs: number;
  /** Longest wait in an upstream's queue that still serves the caller, ms. */
  readonly patienceMs: number;
  readonly nowMs: number;
};

/** Where a request goes, or when there may be room for it. */
export type Placement =
  | {
      readonly kind: "placed";
      readonly upstream: UpstreamEntry;
      /** Expected wait in the upstream's queue, in ms. */
      readonly waitMs: number;
    }
  /** Every upstream is too full; `freeInMs` is when one has room. */
  | { readonly kind: "full"; readonly freeInMs: number }
  /** No upstream of the service is in use. */
  | { readonly kind: "none" };
