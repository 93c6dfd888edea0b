import type { Crash, CrashSuspect } from "./types.ts";

/**
 * Finds crashes that followed each other under a key, in order of time: under each
 * was a suspect that was sent after the one before. Of upstreams that crash at the
 * same time under requests that they had already, only the first counts.
 */
export function findChain(
  crashes: readonly Crash[],
  listSuspects: (crash: Crash) => readonly CrashSuspect[],
): readonly Crash[] {
  const chain: Crash[] = [];
  [...crashes]
    .sort((a, b) => a.atMs - b.atMs)
    .forEach((crash) => {
      const last = chain.at(-1);
      const isNext =
        last === undefined ||
        listSuspects(crash).some((suspect) => isAfter(suspect, crash, last));
      if (isNext) {
        chain.push(crash);
      }
    });
  return chain;
}

/** Returns whether a suspect was sent to its upstream after an earlier crash. */
function isAfter(
  { ranMs }: CrashSuspect,
  { atMs }: Crash,
  earlier: Crash,
): boolean {
  return ranMs !== undefined && atMs - ranMs > earlier.atMs;
}
