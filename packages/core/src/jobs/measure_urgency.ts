import type { JobSpec } from "./types.ts";

const MAX_URGENCY = 8;

/** Measures how near a job's due time is: 1 at first, 8 when it is due. */
export function measureUrgency(spec: JobSpec, nowMs: number): number {
  const spanMs = Math.max(1, spec.dueMs - spec.createdMs);
  const leftMs = Math.min(spanMs, Math.max(0, spec.dueMs - nowMs));
  return 1 + (MAX_URGENCY - 1) * (1 - leftMs / spanMs);
}
