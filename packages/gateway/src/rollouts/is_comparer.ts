import { DUTIES } from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { isHeard } from "../fleet/is_heard.ts";
import { ROLLOUT_TIMES } from "./constants.ts";

/**
 * Returns whether this instance compares versions for the others: the first few of
 * its data centre by id that are heard, since all evidence costs time to add up.
 * The others hear of a verdict by an urgent message.
 */
export function isComparer(view: FleetView): boolean {
  const { members, settings } = view;
  const before = members
    .list(DUTIES.serve)
    .filter(({ dataCentre }) => dataCentre === settings.dataCentre)
    .filter(({ id }) => id < settings.instanceId)
    .filter(({ id }) => isHeard(view, id));
  return before.length < ROLLOUT_TIMES.COMPARERS;
}
