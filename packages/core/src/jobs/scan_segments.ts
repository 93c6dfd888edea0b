import type { InstanceState, Step } from "../instance/types.ts";
import { chooseDisks } from "./choose_disks.ts";
import { JOBS } from "./constants.ts";
import { listSegments } from "./list_segments.ts";
import { shouldClaimSegment } from "./should_claim_segment.ts";
import type { Job } from "./types.ts";

/**
 * Scans a job for a segment to claim or for its completion, if a scan is due.
 */
export function scanSegments(state: InstanceState, nowMs: number): Step {
  const { isScanning, nextScanAtMs } = state.jobs;
  if (isScanning || nowMs < nextScanAtMs || state.isStopping) {
    return { state, effects: [] };
  }
  const job = chooseJob(state, nowMs);
  const memberCount = Object.keys(state.membership.members).length;
  const intervalMs = shouldClaimSegment(state)
    ? Math.max(
        JOBS.SCAN_INTERVAL_MS,
        memberCount * JOBS.SCAN_INTERVAL_PER_MEMBER_MS,
      )
    : JOBS.IDLE_SCAN_INTERVAL_MS;
  const jobs = { ...state.jobs, nextScanAtMs: nowMs + intervalMs };
  const scheduled = { ...state, jobs };
  return job === undefined || !hasDisks(state, nowMs)
    ? {
        state: {
          ...state,
          jobs: { ...jobs, nextScanAtMs: nowMs + JOBS.SCAN_INTERVAL_MS },
        },
        effects: [],
      }
    : listSegments(scheduled, job.record.spec.jobId, nowMs);
}

function chooseJob(state: InstanceState, nowMs: number): Job | undefined {
  return Object.values(state.jobs.known)
    .filter(({ scanBackoffUntilMs }) => scanBackoffUntilMs <= nowMs)
    .sort((a, b) => rankJob(a) - rankJob(b))
    .at(0);
}

/** Ranks cancelled jobs first, then jobs by due time. */
function rankJob({ isCancelled, record }: Job): number {
  return isCancelled ? 0 : record.spec.dueMs;
}

function hasDisks(state: InstanceState, nowMs: number): boolean {
  return chooseDisks(state, "", { nowMs, avoid: [] }).length > 0;
}
