import type { InstanceState } from "../instance/types.ts";
import { hashText } from "../shared/hash_text.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { JOBS } from "./constants.ts";
import type {
  ClaimableSegment,
  Job,
  ListedSegment,
  SegmentRecord,
} from "./types.ts";

/**
 * Finds a segment of a job that can be claimed. Rendezvous hashing gives each
 * instance its own order, so that claims rarely conflict.
 */
export function findClaimableSegment(
  state: InstanceState,
  {
    job,
    listed,
  }: { readonly job: Job; readonly listed: readonly ListedSegment[] },
  nowMs: number,
): ClaimableSegment | undefined {
  const { jobId, itemCount } = job.record.spec;
  const listedByNumber = new Map(
    listed.map((listedSegment) => [listedSegment.number, listedSegment]),
  );
  const count = Math.ceil(itemCount / JOBS.SEGMENT_ITEMS);
  const isInProgress = job.record.phase === "in_progress" && !job.isCancelled;
  return Array.from({ length: count }, (_, number) => ({
    number,
    listed: listedByNumber.get(number),
  }))
    .filter(({ number, listed: listedSegment }) => {
      const segmentKey = buildSegmentKey(jobId, number);
      if (state.jobs.owned[segmentKey] !== undefined) {
        return false;
      }
      return listedSegment === undefined
        ? isInProgress
        : isClaimable(
            state,
            { name: segmentKey, record: listedSegment.record },
            nowMs,
          );
    })
    .map((segment) => ({
      segment,
      weight: hashText(`${jobId}/${segment.number}|${state.self.instanceId}`),
    }))
    .reduce<{ segment: ClaimableSegment; weight: number } | undefined>(
      (best, candidate) =>
        best === undefined || candidate.weight > best.weight ? candidate : best,
      undefined,
    )?.segment;
}

function isClaimable(
  state: InstanceState,
  {
    name: segmentKey,
    record,
  }: { readonly name: string; readonly record: SegmentRecord },
  nowMs: number,
): boolean {
  if (record.state !== "open") {
    return false;
  }
  if (record.owner === "" || record.owner === state.self.instanceId) {
    return true;
  }
  const member = state.membership.members[record.owner];
  const hasOwnerRestarted =
    member !== undefined &&
    member.lastSeenMs > 0 &&
    member.incarnation !== record.incarnation;
  const unchangedSinceMs =
    state.jobs.seen[segmentKey]?.unchangedSinceMs ?? nowMs;
  const unchangedForMs =
    nowMs - Math.max(unchangedSinceMs, state.jobs.storeUnavailableAtMs);
  return hasOwnerRestarted || unchangedForMs >= JOBS.LEASE_MS;
}
