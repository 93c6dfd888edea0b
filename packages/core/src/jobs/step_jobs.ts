import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { cancelJobsWithRevokedKey } from "./cancel_jobs_with_revoked_key.ts";
import { JOBS } from "./constants.ts";
import { persistJob } from "./persist_job.ts";
import { persistOffer } from "./persist_offer.ts";
import { pollJobs } from "./poll_jobs.ts";
import { scanSegments } from "./scan_segments.ts";
import { stepSegment } from "./step_segment.ts";

/** Runs the batch job actions that are due at a tick. */
export function stepJobs(state: InstanceState, nowMs: number): Step {
  const wasPaused = nowMs - state.jobs.lastTickAtMs >= JOBS.PROCESS_PAUSE_MS;
  const resumed = wasPaused ? dropOfflineMarks(state) : state;
  const ticked = { ...resumed, jobs: { ...resumed.jobs, lastTickAtMs: nowMs } };
  const polled = pollJobs(ticked, nowMs);
  const cancelled = chainStep(polled, (current) =>
    cancelJobsWithRevokedKey(current, nowMs),
  );
  const offered = chainStep(cancelled, (current) =>
    chainAll(current, Object.keys(current.jobs.offers), (next, id) =>
      persistOffer(next, id, nowMs),
    ),
  );
  const persisted = chainStep(offered, (current) =>
    chainAll(current, Object.keys(current.jobs.known), (next, id) =>
      persistJob(next, id, nowMs),
    ),
  );
  const segments = chainStep(persisted, (current) =>
    chainAll(current, Object.keys(current.jobs.owned), (next, segmentKey) =>
      stepSegment(next, segmentKey, nowMs),
    ),
  );
  return chainStep(segments, (current) => scanSegments(current, nowMs));
}

/**
 * Clears the offline marks after a pause, so that no segment continues offline
 * before the store was called again.
 */
function dropOfflineMarks(state: InstanceState): InstanceState {
  const owned = Object.fromEntries(
    Object.entries(state.jobs.owned).map(([segmentKey, segment]) => [
      segmentKey,
      { ...segment, isOffline: false },
    ]),
  );
  return { ...state, jobs: { ...state.jobs, owned } };
}
