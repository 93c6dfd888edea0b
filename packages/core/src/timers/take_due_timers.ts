import type { InstanceState } from "../instance/types.ts";
import { TIMER_GROUP_MS } from "./constants.ts";
import type { Timer, TimerGroup } from "./types.ts";

/** The due timers, and the state without them. */
export type DueTimers = {
  readonly state: InstanceState;
  readonly due: readonly Timer[];
};

/** Removes and returns all timers that are due at `nowMs`. */
export function takeDueTimers(state: InstanceState, nowMs: number): DueTimers {
  const lastGroup = Math.floor(nowMs / TIMER_GROUP_MS);
  const [first] = state.timers;
  if (first === undefined || first.group > lastGroup) {
    return { state, due: [] };
  }
  const reached = state.timers.filter(({ group }) => group <= lastGroup);
  const due = reached
    .flatMap(({ timers }) => timers)
    .filter(({ dueMs }) => dueMs <= nowMs);
  if (due.length === 0) {
    return { state, due };
  }
  const remaining = reached
    .map((group) => retainLaterTimers(group, nowMs))
    .filter(({ timers }) => timers.length > 0);
  const timers = [...remaining, ...state.timers.slice(reached.length)];
  return { state: { ...state, timers }, due };
}

function retainLaterTimers(
  { group, timers }: TimerGroup,
  nowMs: number,
): TimerGroup {
  return { group, timers: timers.filter(({ dueMs }) => dueMs > nowMs) };
}
