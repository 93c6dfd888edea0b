import type { JobId } from "../ids/types.ts";

/**
 * Returns the key of a segment: its store key without the prefix `segments/`.
 */
export function buildSegmentKey(jobId: JobId, number: number): string {
  return `${jobId}/${number}`;
}
