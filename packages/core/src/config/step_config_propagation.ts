import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { adoptRevision } from "./adopt_revision.ts";
import { CONFIG_PROPAGATION } from "./constants.ts";
import { isConfigWatcher } from "./is_config_watcher.ts";

/** Looks at watch duty and at offers that wait for the start to end. */
export function stepConfigPropagation(
  state: InstanceState,
  nowMs: number,
): Step {
  const { spread } = state;
  if (nowMs < spread.nextCheckMs) {
    return { state, effects: [] };
  }
  const isWatching = isConfigWatcher(state, nowMs);
  const checked: InstanceState = {
    ...state,
    spread: {
      ...spread,
      isWatching,
      startedMs: spread.startedMs ?? nowMs,
      nextCheckMs: nowMs + CONFIG_PROPAGATION.CHECK_MS,
    },
  };
  const step: Step = {
    state: checked,
    effects:
      isWatching === spread.isWatching
        ? []
        : [{ kind: "watch-config", isHeld: isWatching }],
  };
  return chainStep(step, (at) => adoptOffered(at, nowMs));
}

function adoptOffered(state: InstanceState, nowMs: number): Step {
  const { offered, asked, startedMs } = state.spread;
  const isOver =
    nowMs - (startedMs ?? nowMs) >= CONFIG_PROPAGATION.START_WAIT_MS;
  const isAsking =
    asked !== undefined && nowMs - asked.atMs < CONFIG_PROPAGATION.ASK_RETRY_MS;
  return offered === undefined || !isOver || isAsking
    ? { state, effects: [] }
    : adoptRevision(state, { config: offered }, nowMs);
}
