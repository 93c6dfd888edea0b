import { CRASHES } from "./constants.ts";
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
  const { upstreamId } = crash;
  const known = crashes.find(
    (other) =>
      other.upstreamId === upstreamId &&
      Math.abs(other.atMs - crash.atMs) < CRASHES.SAME_CRASH_MS,
  );
  const suspects = mergeSuspects(known?.suspects ?? [], crash.suspects);
  if (suspects.length === known?.suspects.length) {
    return crashes;
  }
  const others = crashes.filter((other) => other !== known);
  const atMs = Math.min(crash.atMs, known?.atMs ?? crash.atMs);
  return [...others, { upstreamId, atMs, suspects }]
    .filter((other) => crash.atMs - other.atMs < CRASHES.EVIDENCE_MS)
    .slice(-CRASHES.MAX_EVIDENCE);
}

function mergeSuspects(
  known: readonly CrashSuspect[],
  added: readonly CrashSuspect[],
): readonly CrashSuspect[] {
  const byText = new Map(
    [...known, ...added].map((suspect) => [JSON.stringify(suspect), suspect]),
  );
  return [...byText.values()].slice(0, CRASHES.MAX_SUSPECTS);
}
