import { holdsKey } from "../config/holds_key.ts";
import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { cancelJob } from "./cancel_job.ts";

/** Cancels running jobs that were submitted with a revoked key. */
export function cancelJobsWithRevokedKey(
  state: InstanceState,
  nowMs: number,
): Step {
  const document = state.config?.document;
  if (document === undefined) {
    return { state, effects: [] };
  }
  const revoked = Object.values(state.jobs.known)
    .filter(
      ({ isCancelled, record }) =>
        !isCancelled && record.phase === "in_progress",
    )
    .map(({ record }) => record.spec)
    .filter((spec) => !holdsKey(document, spec));
  return chainAll(state, revoked, (current, spec) =>
    cancelJob(current, spec, nowMs),
  );
}
