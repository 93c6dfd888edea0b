import { groupBy } from "@gooseberryline/core";
import type { CallResult } from "./types.ts";

const MS_PER_SECOND = 1_000;

/**
 * Counts the time windows with more admissions than the limit allows. A call
 * counts towards a window only if it was sent and ended within it, so that its
 * admission is certain to fall within the window.
 */
export function countOverLimit(
  results: readonly CallResult[],
  { rate, burst }: { readonly rate: number; readonly burst: number },
): number {
  const admitted = results.filter(
    ({ end }) => end.kind === "answered" || end.kind === "partial",
  );
  const groups = [...groupBy(admitted, ({ customer }) => customer).values()];
  return groups
    .flatMap((calls) => {
      const sortedByEnd = calls.toSorted((a, b) => a.endedMs - b.endedMs);
      return calls.map(({ sentMs }) => {
        const contained = sortedByEnd.filter((call) => call.sentMs >= sentMs);
        return contained.some(({ endedMs }, index) => {
          const seconds = (endedMs - sentMs) / MS_PER_SECOND;
          return index + 1 > rate * seconds + burst;
        });
      });
    })
    .filter((isOver) => isOver).length;
}
