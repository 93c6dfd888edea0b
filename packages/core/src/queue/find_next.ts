import type { WorkId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { readTag } from "./read_tag.ts";
import type { CustomerQueue } from "./types.ts";

/**
 * Finds the queued work that is to start next at a service: the customer
 * furthest behind its fair part, then its profile that is due first.
 */
export function findNext(
  state: InstanceState,
  service: string,
): WorkId | undefined {
  const customers = state.queues.services[service]?.customers ?? {};
  const tags = state.queues.tags[service];
  const [first] = Object.keys(customers)
    .map((id) => ({ id, tag: readTag(tags, id) }))
    .sort((a, b) => a.tag - b.tag || (a.id < b.id ? -1 : 1))
    .map(({ id }) => id);
  const own = first === undefined ? undefined : customers[first];
  return own === undefined ? undefined : pickHead(own);
}

function pickHead(own: CustomerQueue): WorkId | undefined {
  const heads = Object.values(own.profiles).flatMap(([head]) =>
    head === undefined ? [] : [head],
  );
  const [first, ...others] = heads;
  return others.reduce(
    (best, head) =>
      best !== undefined && best.deadlineMs <= head.deadlineMs ? best : head,
    first,
  )?.workId;
}
