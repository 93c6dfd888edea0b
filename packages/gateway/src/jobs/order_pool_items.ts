import { type ItemOrderContext, orderItems } from "@gooseberryline/core";
import type { ItemRun } from "./item_run.ts";
import type { WaitingItem } from "./types.ts";

/** An item of an owned job; `run` is set while it is in flight. */
export type PoolItem = {
  readonly waiting: WaitingItem;
  readonly run: ItemRun | undefined;
};

/** Orders the items of one service, waiting and running, by their priority. */
export function orderPoolItems(
  queue: readonly WaitingItem[],
  runs: readonly ItemRun[],
  pace: Omit<ItemOrderContext, "nowMs">,
): readonly PoolItem[] {
  const items = [
    ...queue.map((waiting) => ({ waiting, run: undefined })),
    ...runs.map((run) => ({ waiting: run.describe(), run })),
  ].map((item) => {
    const { index, dueAtMs, ranMs } = item.waiting;
    return { ...item, index, dueAtMs, ranMs };
  });
  return orderItems(items, { nowMs: Date.now(), ...pace });
}
