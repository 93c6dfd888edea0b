import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { moveWaitingOrders } from "./move_waiting_orders.ts";
import { retryLoanRequests } from "./retry_loan_requests.ts";
import { serveTokenQueue } from "./serve_token_queue.ts";

/** Serves all token queues and retries loan requests that have timed out. */
export function settleLimits(state: InstanceState, nowMs: number): Step {
  const settled = chainAll(
    state,
    Object.keys(state.tokenQueues),
    (current, customer) =>
      chainStep(serveTokenQueue(current, customer, nowMs), (after) =>
        moveWaitingOrders(after, customer, nowMs),
      ),
  );
  return chainStep(settled, (after) =>
    chainAll(after, Object.keys(after.loanRequests), (current, customer) =>
      retryLoanRequests(current, customer, nowMs),
    ),
  );
}
