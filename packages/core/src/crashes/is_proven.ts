import type { KeyEvidence } from "./collect_evidence.ts";
import { CRASHES } from "./constants.ts";
import type { Crash, CrashContext } from "./types.ts";

/**
 * Returns whether enough crashes followed a key, with few strays beside them: where
 * many upstreams crash for another cause, some request is at several by chance.
 * What crashed before the last ones of the key may be left out. Peers have had
 * time to tell of sound answers since the first one.
 */
export function isProven(
  { chain }: KeyEvidence,
  { strays, nowMs }: CrashContext,
): boolean {
  return chain.some((_, index) => {
    const latest = chain.slice(index);
    const beside = strays.filter((stray) => isBeside(stray, latest));
    return (
      latest.length >= CRASHES.BLOCKING_CRASHES &&
      nowMs - (latest[0]?.atMs ?? nowMs) >= CRASHES.OBJECTION_MS &&
      beside.length <= latest.length * CRASHES.MAX_STRAY_SHARE
    );
  });
}

function isBeside({ atMs }: Crash, chain: readonly Crash[]): boolean {
  const firstMs = chain[0]?.atMs ?? 0;
  const lastMs = chain.at(-1)?.atMs ?? 0;
  return atMs >= firstMs && atMs <= lastMs + CRASHES.SAME_EVENT_MS;
}
