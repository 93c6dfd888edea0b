import type { InstanceState } from "../instance/types.ts";
import { CONFIG_PROPAGATION } from "./constants.ts";

/**
 * Records the result of this instance's watch. After a failure, other instances
 * are preferred as watchers for `WATCH_BACKOFF_MS`.
 */
export function recordWatchResult(
  state: InstanceState,
  isReached: boolean,
  nowMs: number,
): InstanceState {
  const brokenUntilMs = isReached
    ? 0
    : nowMs + CONFIG_PROPAGATION.WATCH_BACKOFF_MS;
  return {
    ...state,
    configPropagation: { ...state.configPropagation, brokenUntilMs },
  };
}
