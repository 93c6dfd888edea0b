import type { InstanceState } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Table } from "../shared/types.ts";
import { TIMER_GROUP_MS } from "./constants.ts";
import type { Timer } from "./types.ts";

/** The state without the timers that are due, and those timers. */
export type DueTimers = {
  readonly state: InstanceState;
  readonly due: readonly Timer[];
};

/** Takes out every timer that is due at `nowMs`. */
export function takeDueTimers(state: InstanceState, nowMs: number): DueTimers {
  const lastGroup = Math.floor(nowMs / TIMER_GROUP_MS);
  const reached = Object.keys(state.timers).filter(
    (group) => Number(group) <= lastGroup,
  );
  const due = reached
    .flatMap((group) => state.timers[group] ?? [])
    .filter(({ dueMs }) => dueMs <= nowMs);
  if (due.length === 0) {
    return { state, due };
  }
  const timers = reached.reduce(
    (table, group) => keepLater(table, group, nowMs),
    state.timers,
  );
  return { state: { ...state, timers }, due };
}

function keepLater(
  timers: Table<readonly Timer[]>,
  group: string,
  nowMs: number,
): Table<readonly Timer[]> {
  const later = (timers[group] ?? []).filter(({ dueMs }) => dueMs > nowMs);
  return later.length === 0
    ? dropEntry(timers, group)
    : setEntry(timers, group, later);
}
