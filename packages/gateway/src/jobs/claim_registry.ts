import {
  type BatchClaim,
  batchKeys,
  type EventLog,
  getEventKey,
  type MetadataEvent,
} from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";
import { batchRecords } from "./batch_records.ts";
import { JOB_CONSTANTS } from "./constants.ts";

/** A claim as last read from the store. */
export type ObservedClaim = {
  readonly jobId: string;
  readonly claim: BatchClaim;
  readonly revision: number;
  /**
   * When this instance first saw it without a running owner, on the monotonic
   * clock.
   */
  readonly unownedSinceMs: number | undefined;
};

/**
 * Caches the claims of all unfinished jobs, as reported by the watch and by reads
 * of single claims, either of which may be behind the other.
 */
export class ClaimRegistry {
  readonly #log: EventLog;
  readonly #claims = new Map<string, ObservedClaim>();
  /** Jobs that this process has begun to load. */
  readonly #loaded = new Map<string, true>();
  /** Jobs whose claims were removed, which is for good. */
  readonly #ended = new Map<string, true>();

  constructor(log: EventLog) {
    this.#log = log;
  }

  /** Applies a change of a claim; returns the job's id where it was removed. */
  applyEvent(event: MetadataEvent): string | undefined {
    const key = getEventKey(event);
    const jobId = key.slice(batchKeys.claimPrefix.length);
    if (event.kind === "removed") {
      this.#claims.delete(jobId);
      addRecentEntry(this.#ended, jobId, true, JOB_CONSTANTS.MAX_CACHED_JOBS);
      return jobId;
    }
    const claim = batchRecords.decodeClaim(event.item.value);
    if (claim === undefined) {
      this.#log.warn("claim-unreadable", { jobId });
      return undefined;
    }
    const { revision } = event.item;
    const known = this.#claims.get(jobId);
    const isNewer = known === undefined || revision > known.revision;
    if (isNewer && !this.#ended.has(jobId)) {
      const unownedSinceMs = undefined;
      this.#claims.set(jobId, { jobId, claim, revision, unownedSinceMs });
    }
    return undefined;
  }

  /**
   * Records that a job is being loaded; returns whether it is for the first time. It
   * seems so of one that is forgotten, whose first write then fails.
   */
  recordLoad(jobId: string): boolean {
    const isFirst = !this.#loaded.has(jobId);
    addRecentEntry(this.#loaded, jobId, true, JOB_CONSTANTS.MAX_CACHED_JOBS);
    return isFirst;
  }

  list(): readonly ObservedClaim[] {
    return [...this.#claims.values()];
  }

  get(jobId: string): ObservedClaim | undefined {
    return this.#claims.get(jobId);
  }

  /**
   * Returns how long a claim has had no running owner, in ms, and records when
   * that began.
   */
  measureUnownedMs(jobId: string, isOwned: boolean, nowMs: number): number {
    const observed = this.#claims.get(jobId);
    if (observed === undefined || isOwned) {
      if (observed?.unownedSinceMs !== undefined) {
        this.#claims.set(jobId, { ...observed, unownedSinceMs: undefined });
      }
      return 0;
    }
    const sinceMs = observed.unownedSinceMs ?? nowMs;
    this.#claims.set(jobId, { ...observed, unownedSinceMs: sinceMs });
    return nowMs - sinceMs;
  }
}
