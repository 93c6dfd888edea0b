import { checkInvariant } from "../invariants/check_invariant.ts";
import { ITEM_STATES } from "./item_states.ts";

const { CHART } = ITEM_STATES;
const STATE_COUNT = CHART.states.length;
const NEXT_CODES: Readonly<Record<string, readonly number[]>> =
  Object.fromEntries(
    CHART.events.map((event) => [
      event,
      CHART.states.map((state) =>
        CHART.states.indexOf(CHART.next(state, event) ?? ""),
      ),
    ]),
  );

/**
 * Returns the code of the state that follows `event` in the state chart. A
 * missing transition violates an invariant and leaves the code unchanged.
 */
export function advanceItem(code: number, event: string): number {
  const next = code < STATE_COUNT ? (NEXT_CODES[event]?.[code] ?? -1) : -1;
  checkInvariant(
    "chart-arrow-exists",
    next >= 0,
    () => `item: ${event} in ${CHART.states[code]}`,
  );
  return next < 0 ? code : next;
}
