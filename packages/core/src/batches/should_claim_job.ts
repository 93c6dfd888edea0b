import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { BATCHES } from "./constants.ts";
import type { BatchClaim } from "./types.ts";

type Worker = { readonly id: string; readonly incarnation: string };

/**
 * Returns whether this worker should claim a job now. A job whose owner is
 * running is not claimed. Otherwise each worker waits according to its rank, so
 * that the first one claims the job, and the next one only if the first does
 * not.
 */
export function shouldClaimJob(
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
  // An owner whose lease lapsed while the store was unavailable needs time to
  // register again.
  const graceMs = claim.owner === "" ? 0 : BATCHES.OWNER_GRACE_MS;
  return unownedForMs >= graceMs + rank * BATCHES.CLAIM_RANK_DELAY_MS;
}
