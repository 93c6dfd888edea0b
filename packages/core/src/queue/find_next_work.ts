import type { WorkId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import type { Table } from "../shared/types.ts";
import { readStartTag } from "./read_start_tag.ts";
import type { CustomerQueue } from "./types.ts";

/**
 * Finds the queued work to start next at a service: the customer with the
 * lowest start tag, then its entry with the earliest deadline. With the policy
 * `isQueueShared`, the work that was accepted first.
 */
export function findNextWork(
  state: InstanceState,
  service: string,
): WorkId | undefined {
  const customers = state.queues.services[service]?.customers ?? {};
  if (state.policy.isQueueShared) {
    return findOldest(state, customers);
  }
  const tags = state.queues.tags[service];
  const [first] = Object.keys(customers)
    .map((id) => ({ id, tag: readStartTag(tags, id) }))
    .sort((a, b) => a.tag - b.tag || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
  const customerQueue = first === undefined ? undefined : customers[first];
  return customerQueue === undefined
    ? undefined
    : pickEarliestDue(customerQueue);
}

function findOldest(
  state: InstanceState,
  customers: Table<CustomerQueue>,
): WorkId | undefined {
  return Object.values(customers)
    .flatMap(({ profiles }) => Object.values(profiles))
    .flatMap(([head]) => (head === undefined ? [] : [head.workId]))
    .map((workId) => ({
      workId,
      acceptedMs: getSharded(state.works, workId)?.acceptedMs ?? 0,
    }))
    .sort((a, b) => a.acceptedMs - b.acceptedMs)
    .at(0)?.workId;
}

function pickEarliestDue(customerQueue: CustomerQueue): WorkId | undefined {
  const heads = Object.values(customerQueue.profiles).flatMap(([head]) =>
    head === undefined ? [] : [head],
  );
  const [first, ...others] = heads;
  return others.reduce(
    (best, head) =>
      best !== undefined && best.deadlineMs <= head.deadlineMs ? best : head,
    first,
  )?.workId;
}
