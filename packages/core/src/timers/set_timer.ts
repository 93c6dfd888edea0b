import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { TIMER_GROUP_MS } from "./constants.ts";
import type { Timer } from "./types.ts";

/** Sets a timer; one that is never due is left out. */
export function setTimer(state: InstanceState, timer: Timer): InstanceState {
  if (!Number.isFinite(timer.dueMs)) {
    return state;
  }
  const group = String(Math.floor(timer.dueMs / TIMER_GROUP_MS));
  const held = state.timers[group] ?? [];
  return { ...state, timers: setEntry(state.timers, group, [...held, timer]) };
}
