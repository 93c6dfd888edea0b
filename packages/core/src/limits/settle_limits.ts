import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { moveWaiting } from "./move_waiting.ts";
import { retryLoanRequests } from "./retry_loan_requests.ts";
import { settleWaiting } from "./settle_waiting.ts";

/** Looks after every request and every peer that waits for tokens. */
export function settleLimits(state: InstanceState, nowMs: number): Step {
  const settled = chainAll(state, Object.keys(state.waiting), (at, customer) =>
    chainStep(settleWaiting(at, customer, nowMs), (after) =>
      moveWaiting(after, customer, nowMs),
    ),
  );
  return chainStep(settled, (after) =>
    chainAll(after, Object.keys(after.asks), (at, customer) =>
      retryLoanRequests(at, customer, nowMs),
    ),
  );
}
