import type { InstanceState } from "../instance/types.ts";
import type { Work } from "../work/types.ts";
import type { Upstream } from "./types.ts";

const MIN_TIMEOUT_MS = 500;
const DEVIATION_FACTOR = 6;
const MIN_SAMPLES = 8;

/**
 * Time within which an attempt ought to show its first token, by what the
 * upstream took of late, and by the profile while little is known.
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
