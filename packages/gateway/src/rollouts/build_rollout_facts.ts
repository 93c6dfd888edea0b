import type {
  RolloutEvidence,
  RolloutFacts,
  UpstreamEntry,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { isOldIdle } from "./is_old_idle.ts";
import type { ServiceRollout } from "./service_rollout.ts";

/** Collects what the next step of a roll-out depends on. */
export function buildRolloutFacts(
  view: FleetView,
  rollout: ServiceRollout,
  evidence: RolloutEvidence,
): RolloutFacts {
  const nowMs = view.readNowMs();
  const { service, durationMs } = rollout.order;
  const listed = view.directory.list(service, nowMs);
  const fresh = listed.filter((entry) => rollout.isNew(entry));
  const warm = fresh.filter(({ coldUntilMs }) => coldUntilMs <= nowMs);
  return {
    step: rollout.storedStep,
    durationMs,
    elapsedMs: rollout.measureElapsedMs(nowMs),
    sinceStepMs: nowMs - rollout.stepSinceMs,
    evidence,
    newSlots: countSlots(warm),
    oldSlots: countSlots(listed.filter((entry) => !rollout.isNew(entry))),
    hasNew: fresh.length > 0,
    isOldIdle: isOldIdle(view, rollout, nowMs),
  };
}

function countSlots(entries: readonly UpstreamEntry[]): number {
  return entries.reduce((sum, { slots }) => sum + slots, 0);
}
