import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { BATCHES } from "./constants.ts";
import type { BatchClaim } from "./types.ts";

type Worker = { readonly id: string; readonly incarnation: string };

/**
 * Whether this instance claims a job now. A job whose owner runs is left
 * alone; of the others each instance waits by its rank, so that one claims
 * and the next follows if it doesn't.
 */
export function shouldClaim(
  jobId: string,
  claim: BatchClaim,
  self: Worker,
  workers: readonly Worker[],
  unownedForMs: number,
): boolean {
  const isOwned = workers.some(
    ({ id, incarnation }) =>
      id === claim.owner && incarnation === claim.incarnation,
  );
  if (isOwned) {
    return false;
  }
  const ids = [...new Set([self.id, ...workers.map(({ id }) => id)])];
  const rank = rankByRendezvous(jobId, ids).indexOf(self.id);
  // An owner whose lease lapsed while the store was away registers again.
  const graceMs = claim.owner === "" ? 0 : BATCHES.OWNER_GRACE_MS;
  return unownedForMs >= graceMs + rank * BATCHES.CLAIM_RANK_DELAY_MS;
}
