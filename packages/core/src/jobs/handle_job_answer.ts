import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import type { PendingCall, PlatformAnswer } from "../platform/types.ts";
import { adoptJob } from "./adopt_job.ts";
import { buildJobKey } from "./build_job_key.ts";
import { JOBS } from "./constants.ts";
import { listSegments } from "./list_segments.ts";
import { setJob } from "./set_job.ts";
import type { JobRecord } from "./types.ts";

/** Handles the answer to a write, or a read back, of a job's record. */
export function handleJobAnswer(
  state: InstanceState,
  {
    jobId,
    asked,
    answer,
  }: {
    readonly jobId: string;
    readonly asked: PendingCall;
    readonly answer: PlatformAnswer;
  },
  nowMs: number,
): Step {
  const job = state.jobs.known[jobId];
  if (job === undefined) {
    return { state, effects: [] };
  }
  const settled = setJob(state, { ...job, isAsking: false });
  const found = readAnswer(asked, answer);
  if (found !== undefined) {
    const { jobId: id } = job.record.spec;
    return chainStep(adoptJob(settled, { ...found, nowMs }), (at) =>
      at.jobs.known[jobId]?.record.finalizer === at.self.incarnation
        ? listSegments(at, id, nowMs)
        : { state: at, effects: [] },
    );
  }
  const retryMs = nowMs + JOBS.RETRY_MS;
  const later = setJob(settled, {
    ...job,
    isAsking: answer.kind === "unavailable",
    retryMs,
  });
  if (answer.kind !== "unavailable") {
    return { state: later, effects: [] };
  }
  const key = buildJobKey(job.record.spec.customer, job.record.spec.jobId);
  const purpose = { feature: "jobs", what: "job", id: jobId } as const;
  return asked.call.kind === "get"
    ? {
        state: setJob(later, { ...job, isAsking: false, retryMs }),
        effects: [],
      }
    : requestPlatformCall(later, { kind: "get", key }, { purpose, nowMs });
}

function readAnswer(
  { call }: PendingCall,
  answer: PlatformAnswer,
): { readonly record: JobRecord; readonly version: number } | undefined {
  if (answer.kind === "written" && call.kind === "cas") {
    const { version } = answer;
    return { record: JSON.parse(call.value) as JobRecord, version };
  }
  const found =
    answer.kind === "conflict"
      ? answer.current
      : answer.kind === "got"
        ? answer.record
        : undefined;
  return found === undefined
    ? undefined
    : { record: JSON.parse(found.value) as JobRecord, version: found.version };
}
