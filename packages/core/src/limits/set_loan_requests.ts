import type { InstanceState } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { PendingLoanRequest } from "./types.ts";

/** Sets a customer's loan requests in flight; none removes the entry. */
export function setLoanRequests(
  state: InstanceState,
  customer: string,
  requests: readonly PendingLoanRequest[],
): InstanceState {
  return {
    ...state,
    loanRequests:
      requests.length === 0
        ? dropEntry(state.loanRequests, customer)
        : setEntry(state.loanRequests, customer, requests),
  };
}
