import type { JobSpec } from "./types.ts";

const MAX_URGENCY = 8;

/**
 * Returns the urgency of a job, which rises linearly from 1 at creation to 8 at
 * its due time.
 */
export function measureUrgency(spec: JobSpec, nowMs: number): number {
  const totalMs = Math.max(1, spec.dueMs - spec.createdMs);
  const remainingMs = Math.min(totalMs, Math.max(0, spec.dueMs - nowMs));
  return 1 + (MAX_URGENCY - 1) * (1 - remainingMs / totalMs);
}
