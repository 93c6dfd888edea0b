import { CRASHES } from "./constants.ts";
import { isSameCrash } from "./is_same_crash.ts";
import type { Crash, CrashSuspect } from "./types.ts";

/**
 * Adds what one instance saw of a crash to the evidence. Reports of the same
 * upstream at about the same time are of one crash. Returns the same list if the
 * report says nothing new.
 */
export function mergeCrash(
  crashes: readonly Crash[],
  crash: Crash,
): readonly Crash[] {
  const known = crashes.find((other) => isSameCrash(other, crash));
  const merged = known === undefined ? crash : mergeReports(known, crash);
  if (known !== undefined && hasSameContent(known, merged)) {
    return crashes;
  }
  return [...crashes.filter((other) => other !== known), merged]
    .filter((other) => crash.atMs - other.atMs < CRASHES.EVIDENCE_MS)
    .slice(-CRASHES.MAX_EVIDENCE);
}

function mergeReports(known: Crash, added: Crash): Crash {
  const atMs = Math.min(known.atMs, added.atMs);
  const suspects = [known, added].flatMap((report) =>
    listSuspectsUntil(report, atMs),
  );
  return {
    upstreamId: known.upstreamId,
    atMs,
    suspects: listDistinct(suspects),
    downAt: [...new Set([...known.downAt, ...added.downAt])],
    reachedAt: [...new Set([...known.reachedAt, ...added.reachedAt])],
    reachedMs: findLatest([known.reachedMs, added.reachedMs]),
    isReplaced: known.isReplaced || added.isReplaced,
  };
}

function findLatest(
  times: readonly (number | undefined)[],
): number | undefined {
  const known = times.filter((time) => time !== undefined);
  return known.length === 0 ? undefined : Math.max(...known);
}

function hasSameContent(known: Crash, merged: Crash): boolean {
  return (
    merged.suspects.length === known.suspects.length &&
    merged.downAt.length === known.downAt.length &&
    merged.reachedAt.length === known.reachedAt.length &&
    merged.isReplaced === known.isReplaced
  );
}

/** Lists a report's suspects with the times for which they ran until `atMs`. */
function listSuspectsUntil(
  report: Crash,
  atMs: number,
): readonly CrashSuspect[] {
  const earlierMs = report.atMs - atMs;
  return report.suspects.map((suspect) =>
    suspect.ranMs === undefined
      ? suspect
      : { ...suspect, ranMs: suspect.ranMs - earlierMs },
  );
}

/** The times of repeated reports differ by what they took to arrive. */
function listDistinct(
  suspects: readonly CrashSuspect[],
): readonly CrashSuspect[] {
  const byText = new Map<string, CrashSuspect>();
  suspects.forEach((suspect) => {
    const { ranMs: _, ...identity } = suspect;
    const text = JSON.stringify(identity);
    byText.set(text, byText.get(text) ?? suspect);
  });
  return [...byText.values()].slice(0, CRASHES.MAX_SUSPECTS);
}
