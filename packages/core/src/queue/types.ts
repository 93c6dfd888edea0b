/** Types of the online queues, which are fair between customers by tokens. */
import type { WorkId } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";

/** A queued order and the values that determine its position. */
export type QueueEntry = {
  readonly workId: WorkId;
  readonly costTokens: number;
  /** Time by which the complete answer is due. */
  readonly deadlineMs: number;
};

/** Queued work of one customer at one service. */
export type CustomerQueue = {
  /** Entries by profile, in first-in, first-out order. */
  readonly profiles: Table<readonly QueueEntry[]>;
  readonly count: number;
};

/** Queue of one service. */
export type ServiceQueue = {
  readonly customers: Table<CustomerQueue>;
  readonly count: number;
  readonly tokens: number;
};

/** State of start-time fair queuing. Tags are tokens divided by weight. */
export type FairQueueTags = {
  /** Start tag of the work that started last. */
  readonly virtualTime: number;
  /** Finish tag of each customer's latest work. */
  readonly finishTags: Table<number>;
};

/** All queues of an instance by service. Empty queues have no entry. */
export type QueueState = {
  readonly services: Table<ServiceQueue>;
  readonly tags: Table<FairQueueTags>;
};

/** An arrival rate that decays exponentially. */
export type ArrivalRate = {
  readonly perSecond: number;
  readonly atMs: number;
};
