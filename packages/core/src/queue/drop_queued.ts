import type { InstanceState } from "../instance/types.ts";
import { dropEntry } from "../shared/drop_entry.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Work } from "../work/types.ts";
import type { CustomerQueue, ServiceQueue } from "./types.ts";

/** Takes work out of its queue; work that is not queued changes nothing. */
export function dropQueued(state: InstanceState, work: Work): InstanceState {
  const { service, customer, workId, profile } = work.order;
  const queue = state.queues.services[service];
  const own = queue?.customers[customer];
  const entries = own?.profiles[profile];
  const entry = entries?.find((held) => held.workId === workId);
  if (
    queue === undefined ||
    own === undefined ||
    entries === undefined ||
    entry === undefined
  ) {
    return state;
  }
  const rest = entries.filter((held) => held !== entry);
  const left: CustomerQueue = {
    profiles:
      rest.length === 0
        ? dropEntry(own.profiles, profile)
        : setEntry(own.profiles, profile, rest),
    count: own.count - 1,
  };
  const changed: ServiceQueue = {
    customers:
      left.count === 0
        ? dropEntry(queue.customers, customer)
        : setEntry(queue.customers, customer, left),
    count: queue.count - 1,
    tokens: queue.tokens - entry.costTokens,
  };
  const services =
    changed.count === 0
      ? dropEntry(state.queues.services, service)
      : setEntry(state.queues.services, service, changed);
  return { ...state, queues: { ...state.queues, services } };
}
