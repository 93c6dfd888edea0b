import type { InstanceState, Step } from "../instance/types.ts";
import { chooseDisks } from "./choose_disks.ts";
import { JOBS } from "./constants.ts";
import { listSegments } from "./list_segments.ts";
import { shouldClaim } from "./should_claim.ts";
import type { Job } from "./types.ts";

/** Looks for a segment to claim, or a job to end, when one is due. */
export function scanSegments(state: InstanceState, nowMs: number): Step {
  const { isSeeking, nextSeekMs } = state.jobs;
  if (isSeeking || nowMs < nextSeekMs || state.isStopping) {
    return { state, effects: [] };
  }
  const job = chooseJob(state, nowMs);
  const members = Object.keys(state.membership.members).length;
  const gapMs = shouldClaim(state)
    ? Math.max(JOBS.SEEK_MS, members * JOBS.SEEK_MEMBER_MS)
    : JOBS.DUTY_MS;
  const jobs = { ...state.jobs, nextSeekMs: nowMs + gapMs };
  const sought = { ...state, jobs };
  return job === undefined || !hasDisks(state, nowMs)
    ? {
        state: {
          ...state,
          jobs: { ...jobs, nextSeekMs: nowMs + JOBS.SEEK_MS },
        },
        effects: [],
      }
    : listSegments(sought, job.record.spec.jobId, nowMs);
}

function chooseJob(state: InstanceState, nowMs: number): Job | undefined {
  return Object.values(state.jobs.known)
    .filter(({ exhaustedUntilMs }) => exhaustedUntilMs <= nowMs)
    .sort((a, b) => rankJob(a) - rankJob(b))
    .at(0);
}

/** Jobs to be cancelled come first, then the earliest due. */
function rankJob({ isCancelled, record }: Job): number {
  return isCancelled ? 0 : record.spec.dueMs;
}

function hasDisks(state: InstanceState, nowMs: number): boolean {
  return chooseDisks(state, "", { nowMs, avoid: [] }).length > 0;
}
