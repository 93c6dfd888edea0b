/** Moving a service's traffic to a new version of its upstreams, by order. */

/** The steps of a roll-out in their order; the last two are its ends. */
export const ROLLOUT_STEPS = [
  "ordered",
  "trial",
  "small",
  "large",
  "most",
  "all",
  "completed",
  "rolled-back",
] as const;

export type RolloutStep = (typeof ROLLOUT_STEPS)[number];

/** What operators ask for; each write of the order is a new one. */
export type RolloutOrder = {
  readonly service: string;
  /** The version that is to serve all requests. */
  readonly to: string;
  /** Time within which it should be done, in ms. */
  readonly durationMs: number;
  /** Store revision of the order, which tells it from earlier ones. */
  readonly revision: number;
};

/** Bounds on what a bad version may receive. */
export type RolloutBounds = {
  /** Share of the service's requests from the order to its deadline. */
  readonly share: number;
  /** Requests beyond that share, over the whole fleet. */
  readonly slack: number;
};

/** Answers of one version, as an instance has counted them. */
export type AnswerCounts = {
  /** Attempts that ended, with or without an answer. */
  readonly answered: number;
  /** Answers that say of themselves that they failed. */
  readonly failed: number;
  /** Answers that broke off or never came. */
  readonly broken: number;
  /** Attempts at upstreams with room, whose time can be compared. */
  readonly judged: number;
  /** Those of them that were several times slower than the old version. */
  readonly slow: number;
};

/** Answers of one version on one route in one period since the order. */
export type EvidenceRow = AnswerCounts & {
  /** Number of the period since the order; all instances divide time alike. */
  readonly period: number;
  readonly route: string;
  readonly isNew: boolean;
};

/** Answers of one upstream of the new version. */
export type UpstreamAnswers = {
  readonly answered: number;
  readonly bad: number;
};

/** What instances have seen since the order, of one or of several of them. */
export type RolloutEvidence = {
  readonly rows: readonly EvidenceRow[];
  readonly upstreams: Readonly<Record<string, UpstreamAnswers>>;
  /** Requests and items sent to each side. */
  readonly sentNew: number;
  readonly sentOld: number;
};

/** Whether the new version is worse than the old one, and what shows it. */
export type RolloutVerdict =
  | { readonly kind: "open" }
  | {
      readonly kind: "bad";
      readonly reason: "failures" | "slow";
      /** The route that shows it; undefined if all together do. */
      readonly route: string | undefined;
      readonly answered: number;
      readonly bad: number;
      /** How many of them would have been bad at the old version. */
      readonly expected: number;
    };

/** The state of a roll-out in the store. */
export type RolloutRecord = {
  readonly service: string;
  readonly to: string;
  /** Revision of the order that it is about. */
  readonly order: number;
  readonly step: RolloutStep;
  /** When the order was first seen; Unix time, in ms. */
  readonly orderedAtMs: number;
  /** Versions that the new one replaces. */
  readonly replaced: readonly string[];
  /** Why it ended or is at this step. */
  readonly reason: string;
};

/** What an instance tells its peers of a roll-out, cumulative since the order. */
export type RolloutNews = RolloutEvidence & {
  readonly order: number;
  /** The last step that is known to be in the store. */
  readonly step: RolloutStep;
  /** Why the version was found bad; undefined unless it was. */
  readonly badReason?: string | undefined;
};

/** What the next step of a roll-out depends on. */
export type RolloutFacts = {
  readonly step: RolloutStep;
  readonly durationMs: number;
  /** Time since the order, in ms. */
  readonly elapsedMs: number;
  /** Time since this step, in ms. */
  readonly sinceStepMs: number;
  readonly evidence: RolloutEvidence;
  /** Slots of upstreams that are neither cold nor draining. */
  readonly newSlots: number;
  readonly oldSlots: number;
  /** Whether upstreams of the new version are listed at all. */
  readonly hasNew: boolean;
  /** Whether no instance has work in flight at the old version. */
  readonly isOldIdle: boolean;
};
