import { CUSTOMER_LIMIT } from "./constants.ts";
import { countOverLimit } from "./count_over_limit.ts";
import type { CallResult, JobResult, RunCounts } from "./types.ts";

/** Counts what a run came to from callers' and engines' view. */
export function countRun(
  results: readonly CallResult[],
  jobs: readonly JobResult[],
  about: {
    readonly prompts: readonly string[];
    readonly killed: readonly string[];
  },
): RunCounts {
  const marks = countMarks(about.prompts);
  const runsOf = (mark: string): number => marks.get(mark) ?? 0;
  const countEnds = (isCounted: (result: CallResult) => boolean): number =>
    results.filter(isCounted).length;
  const isRefused = (run: string) => (result: CallResult) =>
    result.end.kind === "refused" && result.end.run === run;
  const isBroken = (byKill: boolean) => (result: CallResult) =>
    result.end.kind === "broken" &&
    about.killed.includes(result.end.instanceId) === byKill;
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
      ({ isIdempotent, mark }) => !isIdempotent && runsOf(mark) > 1,
    ),
    falseNotRun: countEnds(
      (result) => isRefused("not run")(result) && runsOf(result.mark) > 0,
    ),
    overLimit: countOverLimit(results, CUSTOMER_LIMIT),
    jobs: jobs.length,
    items: lines.length,
    itemsLost: lines.filter((count) => count === 0).length,
    itemsDoubled: lines.filter((count) => count > 1).length,
  };
}

function countMarks(prompts: readonly string[]): ReadonlyMap<string, number> {
  return prompts
    .map((prompt) => /"content":"([^"]+)"/.exec(prompt)?.[1] ?? "")
    .reduce(
      (counts, mark) => counts.set(mark, (counts.get(mark) ?? 0) + 1),
      new Map<string, number>(),
    );
}
