import type { RunRecord } from "@gooseberryline/core";

/**
 * Merges records, deduplicated by attempt; returns the latest `limit`, newest
 * first.
 */
export function mergeRuns<Run extends RunRecord>(
  runs: readonly Run[],
  limit: number,
): readonly Run[] {
  const byAttempt = new Map(
    runs.toReversed().map((run) => [run.attemptId, run]),
  );
  return [...byAttempt.values()]
    .toSorted((a, b) => b.endedMs - a.endedMs)
    .slice(0, limit);
}
