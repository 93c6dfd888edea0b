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

/** Handles the answer to a write or read-back of a job's record. */
export function handleJobAnswer(
  state: InstanceState,
  {
    jobId,
    pendingCall,
    answer,
  }: {
    readonly jobId: string;
    readonly pendingCall: PendingCall;
    readonly answer: PlatformAnswer;
  },
  nowMs: number,
): Step {
  const job = state.jobs.known[jobId];
  if (job === undefined) {
    return { state, effects: [] };
  }
  const answered = setJob(state, { ...job, isCallPending: false });
  const stored = parseAnswer(pendingCall, answer);
  if (stored !== undefined) {
    const { jobId: id } = job.record.spec;
    return chainStep(adoptJob(answered, { ...stored, nowMs }), (current) =>
      current.jobs.known[jobId]?.record.finalizer === current.self.incarnation
        ? listSegments(current, id, nowMs)
        : { state: current, effects: [] },
    );
  }
  const retryAtMs = nowMs + JOBS.RETRY_MS;
  const delayed = setJob(answered, {
    ...job,
    isCallPending: answer.kind === "unavailable",
    retryAtMs,
  });
  if (answer.kind !== "unavailable") {
    return { state: delayed, effects: [] };
  }
  const key = buildJobKey(job.record.spec.customer, job.record.spec.jobId);
  const purpose = { feature: "jobs", operation: "job", id: jobId } as const;
  return pendingCall.call.kind === "get"
    ? {
        state: setJob(delayed, { ...job, isCallPending: false, retryAtMs }),
        effects: [],
      }
    : requestPlatformCall(delayed, { kind: "get", key }, { purpose, nowMs });
}

function parseAnswer(
  { call }: PendingCall,
  answer: PlatformAnswer,
): { readonly record: JobRecord; readonly version: number } | undefined {
  if (answer.kind === "written" && call.kind === "cas") {
    const { version } = answer;
    return { record: JSON.parse(call.value) as JobRecord, version };
  }
  const stored =
    answer.kind === "conflict"
      ? answer.current
      : answer.kind === "got"
        ? answer.record
        : undefined;
  return stored === undefined
    ? undefined
    : {
        record: JSON.parse(stored.value) as JobRecord,
        version: stored.version,
      };
}
