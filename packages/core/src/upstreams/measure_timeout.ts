import type { InstanceState } from "../instance/types.ts";
import type { Work } from "../work/types.ts";
import type { Upstream } from "./types.ts";

const MIN_TIMEOUT_MS = 500;
const DEVIATIONS = 6;
const MIN_HISTORY = 8;

/**
 * Time within which an attempt ought to show its first token, by what the
 * upstream took of late, and by the profile while little is known.
 */
export function measureTimeout(
  state: InstanceState,
  { order }: Work,
  { firstToken }: Upstream,
): number {
  const profile = state.config?.document.profiles[order.profile];
  const promisedMs = profile?.firstTokenMs ?? MIN_TIMEOUT_MS;
  const seenMs = 2 * firstToken.meanMs + DEVIATIONS * firstToken.deviationMs;
  return firstToken.count < MIN_HISTORY
    ? Math.max(MIN_TIMEOUT_MS, 2 * promisedMs)
    : Math.max(MIN_TIMEOUT_MS, seenMs);
}
