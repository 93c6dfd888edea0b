import type { KeyEvidence } from "./collect_evidence.ts";
import { CRASHES } from "./constants.ts";

/** Returns whether so many crashes speak against a key that nothing is waited for. */
export function isCertain({
  chain,
  spaced,
}: Pick<KeyEvidence, "chain" | "spaced">): boolean {
  return Math.max(chain.length, spaced.length) >= CRASHES.MAX_CRASHES;
}
