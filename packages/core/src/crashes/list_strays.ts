import { collectEvidence } from "./collect_evidence.ts";
import { CRASHES } from "./constants.ts";
import { keySources } from "./key_sources.ts";
import type { Crash } from "./types.ts";

/**
 * Lists the crashes that are of another cause, as far as is known: no request and
 * no part was there that enough crashes followed to block it.
 */
export function listStrays(
  crashes: readonly Crash[],
  getLastSoundMs: (key: string) => number,
): readonly Crash[] {
  const recurring = [keySources.likelyParts, keySources.allRequests]
    .flatMap((source) => collectEvidence(crashes, source, getLastSoundMs))
    .filter(
      ({ chain, spaced }) =>
        chain.length >= CRASHES.BLOCKING_CRASHES ||
        spaced.length >= CRASHES.MAX_CRASHES,
    )
    .flatMap((evidence) => evidence.crashes);
  const explained = new Set(recurring);
  return crashes.filter((crash) => !explained.has(crash));
}
