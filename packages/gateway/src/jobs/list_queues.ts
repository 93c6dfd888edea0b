import { groupBy } from "@gooseberryline/core";
import type { ItemLocation } from "./item_placer.ts";
import type { WaitingItem } from "./types.ts";

/** An item that waits, with what is known of its service. */
export type LocatedItem = {
  readonly waiting: WaitingItem;
  readonly location: ItemLocation;
};

/** Lists the waiting items whose service is known, by service. */
export function listQueues(
  located: readonly LocatedItem[],
): ReadonlyMap<string, readonly WaitingItem[]> {
  const known = located.flatMap(({ waiting, location }) =>
    location.kind === "service" ? [{ waiting, service: location.service }] : [],
  );
  const groups = groupBy(known, ({ service }) => service);
  return new Map(
    [...groups].map(([service, items]) => [
      service,
      items.map(({ waiting }) => waiting),
    ]),
  );
}
