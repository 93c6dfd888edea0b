import { SPEEDS } from "./constants.ts";
import type { SpeedEvidence } from "./types.ts";

/** Computes how many samples evidence still counts for. */
export function computeWeight(
  { weight, atMs }: Pick<SpeedEvidence, "weight" | "atMs">,
  nowMs: number,
): number {
  const ageMs = Math.max(0, nowMs - atMs);
  return weight * 2 ** (-ageMs / SPEEDS.HALF_LIFE_MS);
}
