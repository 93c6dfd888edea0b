import type { KeyEvidence } from "./collect_evidence.ts";
import { CRASHES } from "./constants.ts";
import type { Crash, CrashContext } from "./types.ts";

/**
 * Returns whether enough crashes followed a key, or more that only lie apart, as
 * requests with it may be in flight together. Few strays may be beside them: where
 * many upstreams crash for another cause, some request is at several by chance.
 * What crashed before the last ones of the key may be left out. Peers have had
 * time to tell of sound answers since the first one.
 */
export function isProven(
  { crashes, chain, spaced }: KeyEvidence,
  context: CrashContext,
): boolean {
  return (
    isProof(chain, chain, CRASHES.BLOCKING_CRASHES, context) ||
    isProof(spaced, crashes, CRASHES.MAX_CRASHES, context)
  );
}

/** `against` are the crashes that the strays beside the proof are weighed with. */
function isProof(
  proof: readonly Crash[],
  against: readonly Crash[],
  needed: number,
  { strays, nowMs }: CrashContext,
): boolean {
  return proof.some((_, index) => {
    const latest = proof.slice(index);
    const count = (crashes: readonly Crash[]): number =>
      crashes.filter((crash) => isBeside(crash, latest)).length;
    return (
      latest.length >= needed &&
      nowMs - (latest[0]?.atMs ?? nowMs) >= CRASHES.OBJECTION_MS &&
      count(strays) <= count(against) * CRASHES.MAX_STRAY_SHARE
    );
  });
}

function isBeside({ atMs }: Crash, chain: readonly Crash[]): boolean {
  const firstMs = chain[0]?.atMs ?? 0;
  const lastMs = chain.at(-1)?.atMs ?? 0;
  return atMs >= firstMs && atMs <= lastMs + CRASHES.SAME_EVENT_MS;
}
