import { isLaterStep } from "@gooseberryline/core";
import { computeLoadTimes } from "../fleet/compute_load_times.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { ROLLOUT_TIMES } from "./constants.ts";
import type { ServiceRollout } from "./service_rollout.ts";

/**
 * Returns whether a recent message of each listed instance shows that it sends
 * nothing to the old version any more and has no work in flight there. One that
 * is behind, or of an earlier build, tells neither.
 */
export function isOldIdle(
  view: FleetView,
  rollout: ServiceRollout,
  nowMs: number,
): boolean {
  const { service, revision } = rollout.order;
  if (isLaterStep("all", rollout.storedStep)) {
    return false;
  }
  const oldIds = view.directory
    .listAll()
    .filter((entry) => entry.service === service && !rollout.isNew(entry))
    .map(({ id }) => id);
  const isIdle = (open: Readonly<Record<string, unknown>>): boolean =>
    oldIds.every((id) => !Object.hasOwn(open, id));
  const maxAgeMs = Math.max(
    ROLLOUT_TIMES.MIN_MESSAGE_AGE_MS,
    computeLoadTimes(view.members.count()).intervalMs * 2,
  );
  const { instanceId } = view.settings;
  return (
    isIdle(view.load.listOwnInFlight()) &&
    view.members
      .list()
      .filter(({ id }) => id !== instanceId)
      .every(({ id, incarnation }) => {
        const message = view.load.getPeerMessage(id);
        const news = message?.rollouts?.[service];
        return (
          message?.incarnation === incarnation &&
          view.load.hasRecentMessage(id, maxAgeMs, nowMs) &&
          news?.order === revision &&
          !isLaterStep("all", news.step) &&
          isIdle(message.open)
        );
      })
  );
}
