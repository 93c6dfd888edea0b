import { DUTIES } from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { ROLLOUT_TIMES } from "./constants.ts";
import type { ServiceRollout } from "./service_rollout.ts";

/**
 * Returns how many serving instances write a step before this one: those of lower
 * ids that know the order and reach the store. Just after the order it is not
 * known yet who does, so all of them count.
 */
export function findRolloutRank(
  view: FleetView,
  rollout: ServiceRollout,
): number {
  const { members, load, settings } = view;
  const { order } = rollout;
  const elapsedMs = rollout.measureElapsedMs(view.readNowMs());
  const isFresh = elapsedMs < ROLLOUT_TIMES.UNKNOWN_MS;
  return members
    .list(DUTIES.serve)
    .filter(({ id }) => id < settings.instanceId)
    .filter(({ id }) => {
      const message = load.getPeerMessage(id);
      const news = message?.rollouts?.[order.service];
      const knowsOrder = news?.order === order.revision;
      return isFresh || (knowsOrder && message?.hasStore === true);
    }).length;
}
