import type { InstanceState } from "../instance/types.ts";
import { hashText } from "../shared/hash_text.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { JOBS } from "./constants.ts";
import type { FoundSegment, FreeSegment, Job, SegmentRecord } from "./types.ts";

/**
 * Finds a free segment of a job. Rendezvous hashing gives every instance
 * another order, so that few claims meet.
 */
export function findFreeSegment(
  state: InstanceState,
  {
    job,
    found,
  }: { readonly job: Job; readonly found: readonly FoundSegment[] },
  nowMs: number,
): FreeSegment | undefined {
  const { jobId, itemCount } = job.record.spec;
  const byNumber = new Map(found.map((one) => [one.number, one]));
  const count = Math.ceil(itemCount / JOBS.SEGMENT_ITEMS);
  const isOpen = job.record.phase === "in_progress" && !job.isCancelled;
  return Array.from({ length: count }, (_, number) => ({
    number,
    found: byNumber.get(number),
  }))
    .filter(({ number, found: one }) => {
      const name = buildSegmentKey(jobId, number);
      if (state.jobs.owned[name] !== undefined) {
        return false;
      }
      return one === undefined
        ? isOpen
        : isFree(state, { name, record: one.record }, nowMs);
    })
    .map((free) => ({
      free,
      weight: hashText(`${jobId}/${free.number}|${state.self.instanceId}`),
    }))
    .reduce<{ free: FreeSegment; weight: number } | undefined>(
      (best, one) =>
        best === undefined || one.weight > best.weight ? one : best,
      undefined,
    )?.free;
}

function isFree(
  state: InstanceState,
  { name, record }: { readonly name: string; readonly record: SegmentRecord },
  nowMs: number,
): boolean {
  if (record.state !== "open") {
    return false;
  }
  if (record.owner === "" || record.owner === state.self.instanceId) {
    return true;
  }
  const member = state.membership.members[record.owner];
  const isReplaced =
    member !== undefined &&
    member.heardMs > 0 &&
    member.incarnation !== record.incarnation;
  const sinceMs = state.jobs.seen[name]?.sinceMs ?? nowMs;
  const watchedMs = nowMs - Math.max(sinceMs, state.jobs.deafMs);
  return isReplaced || watchedMs >= JOBS.LEASE_MS;
}
