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

/** Takes up a job's record of a higher version; an ended job is forgotten. */
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
    isCanceller: false,
    isBuilding: false,
    built: undefined,
    isAsking: false,
    retryMs: 0,
    isCancelled: false,
    ...known,
    record,
    version,
    seenMs: nowMs,
    exhaustedUntilMs: 0,
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
  const names = Object.entries(state.jobs.owned)
    .filter(([, segment]) => segment.jobId === jobId)
    .map(([name]) => name);
  const dropped = chainAll(state, names, (at, name) => {
    const segment = at.jobs.owned[name];
    return segment === undefined
      ? { state: at, effects: [] }
      : dropSegment(at, segment, "LOSE");
  });
  return chainStep(dropped, (at) => {
    const known = dropEntry(at.jobs.known, jobId);
    const seen = Object.fromEntries(
      Object.entries(at.jobs.seen).filter(
        ([name]) => !name.startsWith(`${jobId}/`),
      ),
    );
    return {
      state: { ...at, jobs: { ...at.jobs, known, seen } },
      effects: [{ kind: "drop-results", jobId }],
    };
  });
}
