import type { InstanceState } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { PendingAsk } from "./types.ts";

/** Sets a customer's open asks; none leaves no entry. */
export function putAsks(
  state: InstanceState,
  customer: string,
  asks: readonly PendingAsk[],
): InstanceState {
  return {
    ...state,
    asks:
      asks.length === 0
        ? dropEntry(state.asks, customer)
        : setEntry(state.asks, customer, asks),
  };
}
