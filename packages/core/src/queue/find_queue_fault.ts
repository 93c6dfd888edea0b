import type { InstanceState } from "../instance/types.ts";
import type { Fault, WorkOrder } from "../work/types.ts";
import { QUEUE_BOUNDS } from "./constants.ts";

/** Reason why an order cannot be queued. */
export type QueueFault = Pick<Fault, "code" | "message"> & {
  readonly retryAfterMs?: number;
};

/**
 * Checks whether an order must be refused immediately, as its customer's queue
 * is full or its deadline cannot be met. Returns undefined if it can be queued.
 */
export function findQueueFault(
  state: InstanceState,
  order: WorkOrder,
  nowMs: number,
): QueueFault | undefined {
  const queue = state.queues.services[order.service];
  const customerQueue = queue?.customers[order.customer];
  if (queue === undefined || customerQueue === undefined) {
    return undefined;
  }
  if (customerQueue.count >= QUEUE_BOUNDS.MAX_QUEUED) {
    return { code: "no_capacity", message: "the customer's queue is full" };
  }
  const waitMs = estimateWait(state, order, customerQueue.count);
  return nowMs + waitMs > order.deadlineMs
    ? {
        code: "deadline_exceeded",
        message: "the deadline can't be met",
        retryAfterMs: Math.ceil(waitMs),
      }
    : undefined;
}

/**
 * Estimates the time to the answer in milliseconds, if all customers with
 * queued work get an equal share of the slots.
 */
function estimateWait(
  state: InstanceState,
  { service }: WorkOrder,
  queuedAhead: number,
): number {
  const measured = Object.values(state.upstreams).filter(
    (upstream) => upstream.service === service && upstream.run.count > 0,
  );
  const slots = measured.reduce((sum, { allowance }) => sum + allowance, 0);
  if (slots === 0) {
    return 0;
  }
  const runMs =
    measured.reduce((sum, { run }) => sum + run.meanMs, 0) / measured.length;
  const customers = Object.keys(
    state.queues.services[service]?.customers ?? {},
  ).length;
  return runMs + (queuedAhead * customers * runMs) / slots;
}
