import type { JobId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import type { FoundSegment, SeenRecord } from "./types.ts";

/** Notes since when each record has stood unchanged, by the own clock. */
export function recordLastSeen(
  state: InstanceState,
  {
    jobId,
    found,
  }: { readonly jobId: string; readonly found: readonly FoundSegment[] },
  nowMs: number,
): InstanceState {
  const fresh = found.map(({ number, version }): [string, SeenRecord] => {
    const name = buildSegmentKey(jobId as JobId, number);
    const before = state.jobs.seen[name];
    const isSame = before?.version === version;
    return [name, isSame ? before : { version, sinceMs: nowMs }];
  });
  const seen = { ...state.jobs.seen, ...Object.fromEntries(fresh) };
  return { ...state, jobs: { ...state.jobs, seen } };
}
