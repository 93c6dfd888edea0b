import { canItemWait } from "@gooseberryline/core";
import type { ServicePace } from "./service_pace.ts";
import type { WaitingItem } from "./types.ts";

/** Bounds of the estimated length: no item is placed by it alone. */
const MIN_LENGTH = 0.25;
const MAX_LENGTH = 3;

/** What of an item's time decides where it goes. */
export type ItemUrgency = {
  /** Whether it may wait for a slot that online requests are not likely to need. */
  readonly canWait: boolean;
  /** Time that it still runs, as a part of a mean item's. */
  readonly length: number;
};

type ItemPace = Pick<
  ReturnType<ServicePace["get"]>,
  "meanRunMs" | "meanTokens"
>;

/**
 * Describes how much time an item has and takes. Items take longer the more
 * tokens they have; `nowMs` is by the wall clock.
 */
export function describeUrgency(
  waiting: Pick<WaitingItem, "dueAtMs" | "ranMs" | "item">,
  { meanRunMs, meanTokens }: ItemPace,
  nowMs: number,
): ItemUrgency {
  const { ranMs, item } = waiting;
  const size =
    meanTokens === undefined ? 1 : item.tokens / Math.max(1, meanTokens);
  const length = size - ranMs / Math.max(1, meanRunMs);
  return {
    canWait: canItemWait(waiting, { nowMs, meanRunMs }),
    length: Math.min(MAX_LENGTH, Math.max(MIN_LENGTH, length)),
  };
}
