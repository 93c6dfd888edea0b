import { CUSTOMER_LIMIT } from "./constants.ts";
import { countOverLimit } from "./count_over_limit.ts";
import type { CallResult, JobResult, RunCounts } from "./types.ts";

/** Counts the outcomes of a run from the records of callers and engines. */
export function countOutcomes(
  results: readonly CallResult[],
  jobs: readonly JobResult[],
  evidence: {
    readonly prompts: readonly string[];
    readonly killed: readonly string[];
  },
): RunCounts {
  const runCounts = countRunsByCallId(evidence.prompts);
  const readRunCount = (callId: string): number => runCounts.get(callId) ?? 0;
  const countEnds = (isCounted: (result: CallResult) => boolean): number =>
    results.filter(isCounted).length;
  const isRefused = (run: string) => (result: CallResult) =>
    result.end.kind === "refused" && result.end.run === run;
  const isBroken = (wasKilled: boolean) => (result: CallResult) =>
    result.end.kind === "broken" &&
    evidence.killed.includes(result.end.instanceId) === wasKilled;
  const lines = jobs.flatMap((job) => job.lines);
  return {
    sent: results.length,
    answered: countEnds(({ end }) => end.kind === "answered"),
    refusedNotRun: countEnds(isRefused("not run")),
    refusedMayHaveRun: countEnds(isRefused("may have run")),
    brokenByKill: countEnds(isBroken(true)),
    brokenElsewhere: countEnds(isBroken(false)),
    partial: countEnds(({ end }) => end.kind === "partial"),
    duplicated: countEnds(
      ({ isIdempotent, callId }) => !isIdempotent && readRunCount(callId) > 1,
    ),
    falseNotRun: countEnds(
      (result) =>
        isRefused("not run")(result) && readRunCount(result.callId) > 0,
    ),
    overLimit: countOverLimit(results, CUSTOMER_LIMIT),
    jobs: jobs.length,
    items: lines.length,
    itemsLost: lines.filter((count) => count === 0).length,
    itemsDoubled: lines.filter((count) => count > 1).length,
  };
}

function countRunsByCallId(
  prompts: readonly string[],
): ReadonlyMap<string, number> {
  return prompts
    .map((prompt) => /"content":"([^"]+)"/.exec(prompt)?.[1] ?? "")
    .reduce(
      (counts, callId) => counts.set(callId, (counts.get(callId) ?? 0) + 1),
      new Map<string, number>(),
    );
}
