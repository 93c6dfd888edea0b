import {
  type BatchClaim,
  batchKeys,
  getEventKey,
  type MetadataEvent,
} from "@gooseberryline/core";
import { batchRecords } from "./batch_records.ts";

/** A claim as the store has it. */
export type KnownClaim = {
  readonly jobId: string;
  readonly claim: BatchClaim;
  readonly revision: number;
  /** When this instance first saw it without a running owner. */
  readonly unownedSinceMs: number | undefined;
};

/** Claims of all open jobs, as the watch tells them. */
export class ClaimRegistry {
  readonly #claims = new Map<string, KnownClaim>();

  /** Id of the job whose claim went; undefined for another event. */
  note(event: MetadataEvent): string | undefined {
    const key = getEventKey(event);
    const jobId = key.slice(batchKeys.claimPrefix.length);
    if (event.kind === "removed") {
      this.#claims.delete(jobId);
      return jobId;
    }
    const claim = batchRecords.decodeClaim(event.item.value);
    if (claim !== undefined) {
      const { revision } = event.item;
      const unownedSinceMs = undefined;
      this.#claims.set(jobId, { jobId, claim, revision, unownedSinceMs });
    }
    return undefined;
  }

  list(): readonly KnownClaim[] {
    return [...this.#claims.values()];
  }

  get(jobId: string): KnownClaim | undefined {
    return this.#claims.get(jobId);
  }

  /** How long a claim has been without a running owner, in ms. */
  countUnownedMs(jobId: string, isOwned: boolean, nowMs: number): number {
    const known = this.#claims.get(jobId);
    if (known === undefined || isOwned) {
      if (known?.unownedSinceMs !== undefined) {
        this.#claims.set(jobId, { ...known, unownedSinceMs: undefined });
      }
      return 0;
    }
    const sinceMs = known.unownedSinceMs ?? nowMs;
    this.#claims.set(jobId, { ...known, unownedSinceMs: sinceMs });
    return nowMs - sinceMs;
  }
}
