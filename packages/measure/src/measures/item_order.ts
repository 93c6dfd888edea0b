import { LOAD } from "../items/constants.ts";
import { ITEM_ORDERS } from "../items/item_orders.ts";
import { simulateItems } from "../items/simulate_items.ts";
import type { Measure, MeasureRow } from "./types.ts";

const NAME = "item-order";
/** From well below to three times the capacity of the simulated pool. */
const ITEMS_PER_SECOND = [2, 3, 4, 6, 10] as const;

/** Share of batch items that meet their deadline during online bursts. */
export const ITEM_ORDER: Measure = {
  name: NAME,
  target: "product ahead of each other order",
  run: (seed) =>
    Promise.resolve(
      ITEMS_PER_SECOND.flatMap((rate) => measureOrders(seed, rate)),
    ),
};

function measureOrders(
  seed: number,
  itemsPerSecond: number,
): readonly MeasureRow[] {
  const count = (itemsPerSecond * LOAD.ARRIVALS_MS) / LOAD.MS_PER_SECOND;
  return Object.entries(ITEM_ORDERS).map(([policy, order]) => ({
    measure: NAME,
    policy,
    value: simulateItems(order, { seed, itemsPerSecond }) / count,
    unit: `of ${itemsPerSecond} items a second in time`,
    seed,
  }));
}
