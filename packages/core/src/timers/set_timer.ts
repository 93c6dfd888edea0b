import type { InstanceState } from "../instance/types.ts";
import { TIMER_GROUP_MS } from "./constants.ts";
import type { Timer, TimerGroup } from "./types.ts";

/** Sets a timer; a timer with no finite due time is ignored. */
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
  const index = groups.findLastIndex((entry) => entry.group <= group);
  const existing = groups[index];
  if (existing?.group === group) {
    return groups.with(index, { group, timers: [...existing.timers, timer] });
  }
  return groups.toSpliced(index + 1, 0, { group, timers: [timer] });
}
