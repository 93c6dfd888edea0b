import { setEntry } from "../shared/set_entry.ts";
import { BURN_WINDOWS } from "./constants.ts";
import type {
  BurnEntry,
  BurnSlot,
  BurnState,
  ServiceOutcome,
} from "./types.ts";

/** Records one request in the current slot of every window. */
export function recordOutcome(
  state: BurnState,
  outcome: ServiceOutcome,
  nowMs: number,
): BurnState {
  const { profile, customer } = outcome;
  const id = `${profile}\n${customer}`;
  const entry = state[id] ?? { profile, customer, windows: {} };
  const windows = Object.fromEntries(
    BURN_WINDOWS.map(({ name, slotMs, lengthMs }) => {
      const slot = Math.floor(nowMs / slotMs);
      const oldest = slot - Math.ceil(lengthMs / slotMs) + 1;
      const slots = entry.windows[name] ?? [];
      return [name, countInSlot(slots, { slot, oldest, outcome })];
    }),
  );
  const counted: BurnEntry = { profile, customer, windows };
  return setEntry(state, id, counted);
}

function countInSlot(
  slots: readonly BurnSlot[],
  {
    slot,
    oldest,
    outcome,
  }: {
    readonly slot: number;
    readonly oldest: number;
    readonly outcome: ServiceOutcome;
  },
): readonly BurnSlot[] {
  const missed = outcome.isMissed ? 1 : 0;
  const last = slots.at(-1);
  if (last === undefined || last.slot < slot) {
    const retained = slots.filter((candidate) => candidate.slot >= oldest);
    return [...retained, { slot, total: 1, missed }];
  }
  const counted = {
    slot: last.slot,
    total: last.total + 1,
    missed: last.missed + missed,
  };
  return slots.with(-1, counted);
}
