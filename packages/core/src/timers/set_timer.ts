import type { InstanceState } from "../instance/types.ts";
import { TIMER_GROUP_MS } from "./constants.ts";
import type { Timer, TimerGroup } from "./types.ts";

/** Sets a timer; one that is never due is left out. */
export function setTimer(state: InstanceState, timer: Timer): InstanceState {
  if (!Number.isFinite(timer.dueMs)) {
    return state;
  }
  const group = Math.floor(timer.dueMs / TIMER_GROUP_MS);
  return { ...state, timers: addToGroup(state.timers, group, timer) };
}

function addToGroup(
  groups: readonly TimerGroup[],
  group: number,
  timer: Timer,
): readonly TimerGroup[] {
  const at = groups.findLastIndex((held) => held.group <= group);
  const held = groups[at];
  if (held?.group === group) {
    return groups.with(at, { group, timers: [...held.timers, timer] });
  }
  return groups.toSpliced(at + 1, 0, { group, timers: [timer] });
}
