import type { Pace, ReturnPlan, WaitingRequest, WaitingRoom } from "./types.ts";

/**
 * Estimates after what time a request could start that comes now, in ms. Before it
 * go as many requests of each other customer as it has of its own, and callers
 * that were told to return by then; a slot becomes free each `meanServiceMs /
 * share`.
 */
export function estimateStartMs(
  room: WaitingRoom,
  { customer, startByMs, isReturned }: Readonly<WaitingRequest>,
  pace: Pace,
  returns: ReturnPlan = [],
): number {
  const ownCount = room.customers.get(customer)?.length ?? 0;
  const ahead = [...room.customers].reduce(
    (sum, [name, { length }]) =>
      sum + (name === customer ? length : Math.min(length, ownCount + 1)),
    0,
  );
  const returning = isReturned
    ? 0
    : returns.filter((atMs) => atMs <= startByMs).length;
  const missing = ahead + returning + 1 + pace.inFlight - pace.share;
  return Math.max(0, missing) * computeGapMs(pace);
}

function computeGapMs({ share, meanServiceMs }: Pace): number {
  return meanServiceMs / Math.max(share, Number.MIN_VALUE);
}
