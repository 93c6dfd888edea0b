import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { adoptRevision } from "./adopt_revision.ts";
import { CONFIG_PROPAGATION } from "./constants.ts";
import { isConfigWatcher } from "./is_config_watcher.ts";

/**
 * Starts or ends this instance's watch when the watcher role changes, and
 * adopts the highest offer at the end of the startup wait.
 */
export function stepConfigPropagation(
  state: InstanceState,
  nowMs: number,
): Step {
  const { configPropagation: propagation } = state;
  if (nowMs < propagation.nextCheckMs) {
    return { state, effects: [] };
  }
  const isWatching = isConfigWatcher(state, nowMs);
  const checked: InstanceState = {
    ...state,
    configPropagation: {
      ...propagation,
      isWatching,
      startedMs: propagation.startedMs ?? nowMs,
      nextCheckMs: nowMs + CONFIG_PROPAGATION.CHECK_INTERVAL_MS,
    },
  };
  const step: Step = {
    state: checked,
    effects:
      isWatching === propagation.isWatching
        ? []
        : [{ kind: "watch-config", isWatching }],
  };
  return chainStep(step, (current) => adoptOffered(current, nowMs));
}

function adoptOffered(state: InstanceState, nowMs: number): Step {
  const { offered, pendingRequest, startedMs } = state.configPropagation;
  const hasWaited =
    nowMs - (startedMs ?? nowMs) >= CONFIG_PROPAGATION.START_COLLECT_MS;
  const isRequestPending =
    pendingRequest !== undefined &&
    nowMs - pendingRequest.atMs < CONFIG_PROPAGATION.REQUEST_TIMEOUT_MS;
  return offered === undefined || !hasWaited || isRequestPending
    ? { state, effects: [] }
    : adoptRevision(state, { config: offered }, nowMs);
}
