import type { InstanceState } from "../instance/types.ts";
import type { Work } from "../work/types.ts";
import type { Upstream } from "./types.ts";

const MIN_TIMEOUT_MS = 500;
const DEVIATION_FACTOR = 6;
const MIN_SAMPLES = 8;

/**
 * Returns the first-token timeout of an attempt in milliseconds: from the
 * upstream's mean and deviation, or from the profile's target while there are
 * fewer than `MIN_SAMPLES` samples.
 */
export function computeTimeout(
  state: InstanceState,
  { order }: Work,
  { firstToken }: Upstream,
): number {
  const profile = state.config?.document.profiles[order.profile];
  const targetMs = profile?.firstTokenMs ?? MIN_TIMEOUT_MS;
  const measuredMs =
    2 * firstToken.meanMs + DEVIATION_FACTOR * firstToken.deviationMs;
  return firstToken.count < MIN_SAMPLES
    ? Math.max(MIN_TIMEOUT_MS, 2 * targetMs)
    : Math.max(MIN_TIMEOUT_MS, measuredMs);
}
