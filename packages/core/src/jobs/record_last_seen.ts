import type { JobId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import type { ListedSegment, ObservedRecord } from "./types.ts";

/**
 * Records since when each segment record has been unchanged, by the local
 * clock.
 */
export function recordLastSeen(
  state: InstanceState,
  {
    jobId,
    listed,
  }: { readonly jobId: string; readonly listed: readonly ListedSegment[] },
  nowMs: number,
): InstanceState {
  const observations = listed.map(
    ({ number, version }): [string, ObservedRecord] => {
      const segmentKey = buildSegmentKey(jobId as JobId, number);
      const previous = state.jobs.seen[segmentKey];
      const isUnchanged = previous?.version === version;
      return [
        segmentKey,
        isUnchanged ? previous : { version, unchangedSinceMs: nowMs },
      ];
    },
  );
  const seen = { ...state.jobs.seen, ...Object.fromEntries(observations) };
  return { ...state, jobs: { ...state.jobs, seen } };
}
