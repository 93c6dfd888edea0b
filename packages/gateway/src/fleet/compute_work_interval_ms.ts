import { computeGossipIntervalMs } from "./compute_gossip_interval_ms.ts";
import { FLEET } from "./constants.ts";

/**
 * Returns the interval between messages of work in flight to the instances of
 * the own data centre, in ms; undefined where load messages are about as
 * frequent. An instance so hears as much from its data centre as from the fleet.
 */
export function computeWorkIntervalMs(
  nearCount: number,
  memberCount: number,
): number | undefined {
  const nearMs = computeGossipIntervalMs(nearCount);
  const isFrequent =
    computeGossipIntervalMs(memberCount) >= nearMs * FLEET.MIN_WORK_MESSAGES;
  return isFrequent ? nearMs : undefined;
}
