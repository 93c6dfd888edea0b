import type { SlotHolder } from "./types.ts";

type Incarnation = Pick<
  SlotHolder,
  "instanceId" | "incarnation" | "lastSeenMs"
>;

/**
 * Returns whether a later incarnation of the holder's instance has reported. Its
 * process has ended then, and its attempts with it, also once the later one is
 * silent.
 */
export function isSuperseded(
  holder: Incarnation,
  holders: readonly Incarnation[],
): boolean {
  return holders.some(
    ({ instanceId, incarnation, lastSeenMs }) =>
      instanceId === holder.instanceId &&
      incarnation !== holder.incarnation &&
      lastSeenMs > holder.lastSeenMs,
  );
}
