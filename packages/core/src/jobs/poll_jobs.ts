import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { JOBS } from "./constants.ts";

/** Asks for the job records that changed since the last look, when due. */
export function pollJobs(state: InstanceState, nowMs: number): Step {
  const { isPolling, nextPollMs, revision } = state.jobs;
  if (isPolling || nowMs < nextPollMs) {
    return { state, effects: [] };
  }
  const members = Object.keys(state.membership.members).length;
  const gapMs = Math.max(JOBS.POLL_MS, members * JOBS.POLL_MEMBER_MS);
  const jobs = { ...state.jobs, isPolling: true, nextPollMs: nowMs + gapMs };
  return requestPlatformCall(
    { ...state, jobs },
    { kind: "changes", prefix: "jobs/", revision },
    { purpose: { feature: "jobs", what: "poll", id: "" }, nowMs },
  );
}
