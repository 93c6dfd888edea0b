import { groupBy } from "@gooseberryline/core";
import type { ItemLocation } from "./item_placer.ts";
import type { WaitingItem } from "./types.ts";

/** Lists the waiting items whose service is known, by service. */
export function listQueues(
  waiting: readonly WaitingItem[],
  locate: (item: WaitingItem) => ItemLocation,
): ReadonlyMap<string, readonly WaitingItem[]> {
  const located = waiting.flatMap((item) => {
    const location = locate(item);
    return location.kind === "service"
      ? [{ item, service: location.service }]
      : [];
  });
  const groups = groupBy(located, ({ service }) => service);
  return new Map(
    [...groups].map(([service, members]) => [
      service,
      members.map(({ item }) => item),
    ]),
  );
}
