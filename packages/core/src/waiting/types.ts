/** Types of the room where requests wait at an instance for upstreams' slots. */
import type { FairQueueTags } from "../queue/types.ts";

/** A request that waits, or asks to. */
export type WaitingRequest = {
  /** Unique within the room. */
  readonly id: number;
  /** Empty on a public route. */
  readonly customer: string;
  readonly costTokens: number;
  /** Bytes of its body, which is held while it waits. */
  readonly bytes: number;
  /** Latest start that meets the objective, on the monotonic clock, in ms. */
  readonly startByMs: number;
  /** Latest start that leaves time for the answer, likewise. */
  readonly endByMs: number;
  /** Longest delay after which its caller would come again, in ms. */
  readonly maxReturnMs: number;
  /** Whether its caller has come again, and would not do so another time. */
  readonly isReturned: boolean;
};

/** The requests that wait at an instance for one service. */
export type WaitingRoom = {
  readonly customers: ReadonlyMap<string, readonly WaitingRequest[]>;
  readonly tags: FairQueueTags | undefined;
  readonly count: number;
  readonly bytes: number;
  /** Starts in a row that left a late request behind. */
  readonly lateTurns: number;
};

/** How fast an instance may start requests of one service. */
export type Pace = {
  /** Slots that this instance may occupy; not a whole number. */
  readonly share: number;
  /** Its requests in flight. */
  readonly inFlight: number;
  /** Mean time for which a request occupies a slot, in ms. */
  readonly meanServiceMs: number;
};

/** Work in flight or waiting by customer, in requests. */
export type CustomerDemand = ReadonlyMap<string, number>;

/** What the slots of a service are divided by. */
export type SlotDemand = {
  /** Slots of the upstreams that can be used. */
  readonly slots: number;
  readonly own: CustomerDemand;
  /** That of all instances that told theirs, without the own. */
  readonly others: CustomerDemand;
  /** By how many requests that has changed since. */
  readonly untold?: number;
  /** Number of all instances that share the slots, this one included. */
  readonly instances: number;
  /** Those of them that have told nothing lately. */
  readonly silent: number;
};

/** What becomes of a request that comes. */
export type WaitDecision =
  | { readonly kind: "start" }
  | { readonly kind: "wait"; readonly expectedMs: number }
  | {
      readonly kind: "refuse";
      readonly reason: RefusalReason;
      /** When it is expected that it could start, in ms. */
      readonly expectedMs: number;
    };

export const REFUSAL_REASONS = {
  /** The room is at its bound of requests or bytes. */
  full: "full",
  /** It would start too late for its objective; one that returns would not. */
  late: "late",
  /** It could not be answered in time. */
  hopeless: "hopeless",
} as const;

export type RefusalReason =
  (typeof REFUSAL_REASONS)[keyof typeof REFUSAL_REASONS];

/** A while in which requests were refused for lack of room. */
export type Overload = {
  readonly sinceMs: number;
  /** The last refusal. */
  readonly lastMs: number;
  /** How long earlier ones lasted; undefined for the first. */
  readonly usualMs: number | undefined;
};

/** When refused callers have been told to return, ascending, in ms. */
export type ReturnPlan = readonly number[];
