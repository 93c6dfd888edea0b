import type { InstanceState } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Work } from "../work/types.ts";
import type { CustomerQueue, ServiceQueue } from "./types.ts";

/** Removes work from its queue. Does nothing if the work is not queued. */
export function dropQueued(state: InstanceState, work: Work): InstanceState {
  const { service, customer, workId, profile } = work.order;
  const queue = state.queues.services[service];
  const customerQueue = queue?.customers[customer];
  const entries = customerQueue?.profiles[profile];
  const entry = entries?.find((candidate) => candidate.workId === workId);
  if (
    queue === undefined ||
    customerQueue === undefined ||
    entries === undefined ||
    entry === undefined
  ) {
    return state;
  }
  const rest = entries.filter((candidate) => candidate !== entry);
  const remaining: CustomerQueue = {
    profiles:
      rest.length === 0
        ? dropEntry(customerQueue.profiles, profile)
        : setEntry(customerQueue.profiles, profile, rest),
    count: customerQueue.count - 1,
  };
  const changed: ServiceQueue = {
    customers:
      remaining.count === 0
        ? dropEntry(queue.customers, customer)
        : setEntry(queue.customers, customer, remaining),
    count: queue.count - 1,
    tokens: queue.tokens - entry.costTokens,
  };
  const services =
    changed.count === 0
      ? dropEntry(state.queues.services, service)
      : setEntry(state.queues.services, service, changed);
  return { ...state, queues: { ...state.queues, services } };
}
