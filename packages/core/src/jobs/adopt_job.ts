import type { JobId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { dropSegment } from "./drop_segment.ts";
import { JOB_CHART } from "./job_chart.ts";
import { setJob } from "./set_job.ts";
import { stopJob } from "./stop_job.ts";
import type { Job, JobRecord } from "./types.ts";

/**
 * Applies a job record that is newer than the known version. A job that has
 * ended is removed together with its owned segments.
 */
export function adoptJob(
  state: InstanceState,
  {
    record,
    version,
    nowMs,
  }: {
    readonly record: JobRecord;
    readonly version: number;
    readonly nowMs: number;
  },
): Step {
  const { jobId } = record.spec;
  const known = state.jobs.known[jobId];
  if (JOB_CHART.isFinal(record.phase)) {
    return dropJob(state, jobId);
  }
  if (known !== undefined && known.version >= version) {
    return { state, effects: [] };
  }
  const job: Job = {
    hasCancelRequest: false,
    isBuildingOutput: false,
    builtOutput: undefined,
    isCallPending: false,
    retryAtMs: 0,
    isCancelled: false,
    ...known,
    record,
    version,
    changeSeenAtMs: nowMs,
    scanBackoffUntilMs: 0,
  };
  const adopted = setJob(state, job);
  const isCancelled = record.phase === "cancelling" && !job.isCancelled;
  return isCancelled
    ? stopJob(adopted, jobId, nowMs)
    : { state: adopted, effects: [] };
}

function dropJob(state: InstanceState, jobId: JobId): Step {
  if (state.jobs.known[jobId] === undefined) {
    return { state, effects: [] };
  }
  const segmentKeys = Object.entries(state.jobs.owned)
    .filter(([, segment]) => segment.jobId === jobId)
    .map(([segmentKey]) => segmentKey);
  const dropped = chainAll(state, segmentKeys, (current, segmentKey) => {
    const segment = current.jobs.owned[segmentKey];
    return segment === undefined
      ? { state: current, effects: [] }
      : dropSegment(current, segment, "LOSE");
  });
  return chainStep(dropped, (current) => {
    const known = dropEntry(current.jobs.known, jobId);
    const seen = Object.fromEntries(
      Object.entries(current.jobs.seen).filter(
        ([segmentKey]) => !segmentKey.startsWith(`${jobId}/`),
      ),
    );
    return {
      state: { ...current, jobs: { ...current.jobs, known, seen } },
      effects: [{ kind: "drop-results", jobId }],
    };
  });
}
