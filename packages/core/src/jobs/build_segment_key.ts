import type { JobId } from "../ids/types.ts";

/** Names a segment: the key of its record without `segments/`. */
export function buildSegmentKey(jobId: JobId, number: number): string {
  return `${jobId}/${number}`;
}
