import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { cancelWithdrawnJobs } from "./cancel_withdrawn_jobs.ts";
import { JOBS } from "./constants.ts";
import { persistJob } from "./persist_job.ts";
import { persistOffer } from "./persist_offer.ts";
import { pollJobs } from "./poll_jobs.ts";
import { scanSegments } from "./scan_segments.ts";
import { stepSegment } from "./step_segment.ts";

/** Does what is due for batch jobs at a tick. */
export function stepJobs(state: InstanceState, nowMs: number): Step {
  const wasPaused = nowMs - state.jobs.tickMs >= JOBS.PAUSE_MS;
  const awake = wasPaused ? noteDoubt(state) : state;
  const ticked = { ...awake, jobs: { ...awake.jobs, tickMs: nowMs } };
  const polled = pollJobs(ticked, nowMs);
  const stopped = chainStep(polled, (at) => cancelWithdrawnJobs(at, nowMs));
  const offered = chainStep(stopped, (at) =>
    chainAll(at, Object.keys(at.jobs.offers), (to, id) =>
      persistOffer(to, id, nowMs),
    ),
  );
  const driven = chainStep(offered, (at) =>
    chainAll(at, Object.keys(at.jobs.known), (to, id) =>
      persistJob(to, id, nowMs),
    ),
  );
  const segments = chainStep(driven, (at) =>
    chainAll(at, Object.keys(at.jobs.owned), (to, name) =>
      stepSegment(to, name, nowMs),
    ),
  );
  return chainStep(segments, (at) => scanSegments(at, nowMs));
}

/** After a pause nothing goes on offline until the store was asked again. */
function noteDoubt(state: InstanceState): InstanceState {
  const owned = Object.fromEntries(
    Object.entries(state.jobs.owned).map(([name, segment]) => [
      name,
      { ...segment, isOffline: false },
    ]),
  );
  return { ...state, jobs: { ...state.jobs, owned } };
}
