import type { DataCentreId } from "../ids/types.ts";
import { fillEvenly } from "./fill_evenly.ts";
import type { SlotHolder } from "./types.ts";

/**
 * Plans the slots of each holder: online work first, then batch work, and the
 * remainder evenly within the own data centre so that a burst finds free slots
 * where it arrives. Running batch items are preempted only for online work.
 */
export function fillSlots(
  holders: readonly SlotHolder[],
  {
    total,
    ownDataCentre,
  }: { readonly total: number; readonly ownDataCentre: DataCentreId },
): readonly number[] {
  const online = divideAboveHeld(
    holders.map(({ use }) => use.fixed),
    holders.map(({ use }) => use.onlineWant),
    total,
  );
  const forBatch = Math.max(0, total - countTotal(online));
  const running = holders.map(({ use }) => use.inFlight - use.fixed);
  const batch = divideAboveHeld(
    fillEvenly(forBatch, running),
    holders.map(({ use }) => use.batchWant),
    forBatch,
  );
  const spare = fillEvenly(
    forBatch - countTotal(batch),
    holders.map(({ dataCentre }) => (dataCentre === ownDataCentre ? total : 0)),
  );
  return holders.map(
    (_, index) =>
      (online[index] ?? 0) + (batch[index] ?? 0) + (spare[index] ?? 0),
  );
}

/** Divides `total` by demand, where each holder retains at least its `held`. */
function divideAboveHeld(
  held: readonly number[],
  demands: readonly number[],
  total: number,
): readonly number[] {
  const parts = fillEvenly(total, demands);
  const raised = held.map((count, index) => Math.max(count, parts[index] ?? 0));
  const excess = Math.max(0, countTotal(raised) - total);
  const spares = held.map((count, index) => (raised[index] ?? 0) - count);
  const remaining = fillEvenly(
    Math.max(0, countTotal(spares) - excess),
    spares,
  );
  return held.map((count, index) => count + (remaining[index] ?? 0));
}

function countTotal(parts: readonly number[]): number {
  return parts.reduce((total, part) => total + part, 0);
}
