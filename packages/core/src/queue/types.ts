/** Queued online work, fair between customers by work in tokens. */
import type { WorkId } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";

/** One queued order, with what the order of the queue needs. */
export type QueueEntry = {
  readonly workId: WorkId;
  readonly costTokens: number;
  /** Moment by which the whole answer is due. */
  readonly deadlineMs: number;
};

/** What one customer has queued at one service. */
export type CustomerQueue = {
  /** Entries by profile, first come first. */
  readonly profiles: Table<readonly QueueEntry[]>;
  readonly count: number;
};

/** The queue of one service. */
export type ServiceQueue = {
  readonly customers: Table<CustomerQueue>;
  readonly count: number;
  readonly tokens: number;
};

/** Start-time fair queuing: tags are tokens divided by weight. */
export type FairQueueTags = {
  /** Tag of the work that started last. */
  readonly virtualTime: number;
  /** Tag at which a customer's next work may start. */
  readonly finishTags: Table<number>;
};

/** All queues of an instance, by service; an empty queue has no entry. */
export type QueueState = {
  readonly services: Table<ServiceQueue>;
  readonly tags: Table<FairQueueTags>;
};

/** A rate of arrivals that decays with time. */
export type ArrivalRate = {
  readonly perSecond: number;
  readonly atMs: number;
};
