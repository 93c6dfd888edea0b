import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { JOBS } from "./constants.ts";

/**
 * Requests the job records that changed since the last poll, if a poll is due.
 */
export function pollJobs(state: InstanceState, nowMs: number): Step {
  const { isPolling, nextPollAtMs, revision } = state.jobs;
  if (isPolling || nowMs < nextPollAtMs) {
    return { state, effects: [] };
  }
  const memberCount = Object.keys(state.membership.members).length;
  const intervalMs = Math.max(
    JOBS.POLL_INTERVAL_MS,
    memberCount * JOBS.POLL_INTERVAL_PER_MEMBER_MS,
  );
  const jobs = {
    ...state.jobs,
    isPolling: true,
    nextPollAtMs: nowMs + intervalMs,
  };
  return requestPlatformCall(
    { ...state, jobs },
    { kind: "changes", prefix: "jobs/", revision },
    { purpose: { feature: "jobs", operation: "poll", id: "" }, nowMs },
  );
}
