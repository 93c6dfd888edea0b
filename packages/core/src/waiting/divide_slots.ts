import type { CustomerDemand, SlotDemand } from "./types.ts";

/**
 * Divides the slots of a service and returns the part of this instance. Customers
 * get equal parts, and what one does not ask for goes to the others (max-min);
 * the part of a customer is divided by where its requests are. Slots that nobody
 * asks for are divided evenly, so that a rise takes no more of them than there
 * are before it is told. An instance of which nothing is known keeps an even part.
 */
export function divideSlots(demand: SlotDemand): number {
  const { slots, own, others, untold = 0, instances, silent } = demand;
  const evenPart = slots / Math.max(1, instances);
  const divided = slots - evenPart * Math.min(silent, instances - 1);
  const all = addDemand(own, others, untold);
  const sorted = [...all.values()].toSorted((a, b) => a - b);
  const total = sorted.reduce((sum, count) => sum + count, 0);
  const told = Math.max(1, instances - silent);
  const level = findLevel(sorted, divided);
  const ownPart = [...own].reduce((sum, [customer, count]) => {
    const asked = all.get(customer) ?? count;
    return sum + (Math.min(asked, level) * count) / Math.max(asked, 1);
  }, 0);
  return ownPart + Math.max(0, divided - total) / told;
}

/** What is untold is taken to be of the customers that were told of. */
function addDemand(
  own: CustomerDemand,
  others: CustomerDemand,
  untold: number,
): CustomerDemand {
  const told = [...others.values()].reduce((sum, count) => sum + count, 0);
  const growth = told > 0 ? Math.max(0, 1 + untold / told) : 1;
  const sum = new Map(own);
  others.forEach((count, customer) => {
    sum.set(customer, (sum.get(customer) ?? 0) + count * growth);
  });
  return sum;
}

/** Finds the part up to which each customer gets what it asks for. */
function findLevel(sorted: readonly number[], slots: number): number {
  const found = sorted.reduce(
    ({ left, level }, asked, index) => {
      const part = Math.max(0, left) / (sorted.length - index);
      const given = Math.min(asked, part);
      return { left: left - given, level: Math.max(level, given) };
    },
    { left: slots, level: 0 },
  );
  return found.level;
}
