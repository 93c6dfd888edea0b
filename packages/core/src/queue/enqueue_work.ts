import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Work } from "../work/types.ts";
import type { QueueEntry } from "./types.ts";

/**
 * Adds work to the queue of its service, customer and profile: at the end, or
 * at the front for work that is requeued.
 */
export function enqueueWork(
  state: InstanceState,
  work: Work,
  place: "first" | "last" = "last",
): InstanceState {
  const { workId, service, customer, profile, costTokens, deadlineMs } =
    work.order;
  const entry: QueueEntry = { workId, costTokens, deadlineMs };
  const queue = state.queues.services[service];
  const customerQueue = queue?.customers[customer];
  const before = customerQueue?.profiles[profile] ?? [];
  const entries = place === "last" ? [...before, entry] : [entry, ...before];
  const changed = {
    customers: setEntry(queue?.customers ?? {}, customer, {
      profiles: setEntry(customerQueue?.profiles ?? {}, profile, entries),
      count: (customerQueue?.count ?? 0) + 1,
    }),
    count: (queue?.count ?? 0) + 1,
    tokens: (queue?.tokens ?? 0) + costTokens,
  };
  const services = setEntry(state.queues.services, service, changed);
  return { ...state, queues: { ...state.queues, services } };
}
