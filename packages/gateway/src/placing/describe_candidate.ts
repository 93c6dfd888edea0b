import {
  type Candidate,
  type ConsideredUpstream,
  estimateWaitMs,
  findExclusion,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";

const NOT_TRIED = { tried: new Set<string>() };

/** Describes an upstream that is considered, and what rules it out. */
export function describeCandidate(
  view: FleetView,
  candidate: Candidate,
): ConsideredUpstream {
  const { entry, open, unseen, slowness = 1, suspectUntilMs } = candidate;
  const nowMs = view.readNowMs();
  const serviceMs = view.load.getMeanServiceTimeMs(entry.service) * slowness;
  const maxAgeMs = Number.POSITIVE_INFINITY;
  const oldestMs = view.load.reports.findOldestMs(entry.id, {
    nowMs,
    maxAgeMs,
  });
  const isSuspect = suspectUntilMs > nowMs;
  const suspect =
    suspectUntilMs === Number.POSITIVE_INFINITY ? "unreachable" : "suspect";
  return {
    upstream: entry.id,
    dataCentre: entry.dataCentre,
    ...open,
    slots: entry.slots,
    unseen: Number(unseen.toFixed(1)),
    slowness,
    waitMs: Math.round(estimateWaitMs(entry, open, serviceMs)),
    newsAgeMs:
      oldestMs === undefined ? undefined : Math.round(nowMs - oldestMs),
    ruledOut:
      findExclusion(candidate, NOT_TRIED) ?? (isSuspect ? suspect : undefined),
  };
}
