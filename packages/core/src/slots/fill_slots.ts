import type { DataCentreId } from "../ids/types.ts";
import { fillEvenly } from "./fill_evenly.ts";
import type { SlotHolder } from "./types.ts";

/**
 * Plans how many slots each holder ought to have: online work first, then
 * batch work, and what is left evenly within the data centre, so that a
 * burst finds slots where it arrives. Running batch items give way to online
 * work alone.
 */
export function fillSlots(
  holders: readonly SlotHolder[],
  { total, home }: { readonly total: number; readonly home: DataCentreId },
): readonly number[] {
  const online = keepHeld(
    holders.map(({ use }) => use.fixed),
    holders.map(({ use }) => use.onlineWant),
    total,
  );
  const forBatch = Math.max(0, total - countParts(online));
  const running = holders.map(({ use }) => use.inFlight - use.fixed);
  const batch = keepHeld(
    fillEvenly(forBatch, running),
    holders.map(({ use }) => use.batchWant),
    forBatch,
  );
  const spare = fillEvenly(
    forBatch - countParts(batch),
    holders.map(({ dataCentre }) => (dataCentre === home ? total : 0)),
  );
  return holders.map(
    (_, at) => (online[at] ?? 0) + (batch[at] ?? 0) + (spare[at] ?? 0),
  );
}

/** Splits `total` by wants, above what each holder keeps in any case. */
function keepHeld(
  held: readonly number[],
  wants: readonly number[],
  total: number,
): readonly number[] {
  const parts = fillEvenly(total, wants);
  const kept = held.map((count, at) => Math.max(count, parts[at] ?? 0));
  const excess = Math.max(0, countParts(kept) - total);
  const spares = held.map((count, at) => (kept[at] ?? 0) - count);
  const left = fillEvenly(Math.max(0, countParts(spares) - excess), spares);
  return held.map((count, at) => count + (left[at] ?? 0));
}

function countParts(parts: readonly number[]): number {
  return parts.reduce((total, part) => total + part, 0);
}
