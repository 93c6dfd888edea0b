import type { InstanceState } from "../instance/types.ts";
import { CONFIG_PROPAGATION } from "./constants.ts";

/** Notes how the own watch went; a broken one leaves the duty to others. */
export function recordWatchResult(
  state: InstanceState,
  isReached: boolean,
  nowMs: number,
): InstanceState {
  const brokenUntilMs = isReached
    ? 0
    : nowMs + CONFIG_PROPAGATION.WATCH_BACKOFF_MS;
  return { ...state, spread: { ...state.spread, brokenUntilMs } };
}
