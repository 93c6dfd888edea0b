import { LEAVING } from "./constants.ts";
import { estimateCrowdingMs } from "./estimate_crowding_ms.ts";
import type {
  DataCentreLoad,
  LeavingPlan,
  LeavingShare,
  LeavingSituation,
} from "./types.ts";

/** What would move from the own data centre to others to even out their loads. */
type Flow = { readonly to: DataCentreLoad; readonly requests: number };

/**
 * Plans which part of a data centre's requests leaves it. Demand counts where
 * requests come from, so that what has left doesn't call back what leaves; at most
 * as much leaves as evens out the demand on all slots, divided among those that
 * have too much, and only as far as the last request to leave still saves its
 * cost. None goes to a data centre whose own demand is above the mean, so no two
 * swap their work.
 */
export function planLeaving(situation: LeavingSituation): LeavingPlan {
  const { loads, ownDataCentre, costMs, isLeaving } = situation;
  const factor = isLeaving ? LEAVING.END_FACTOR : LEAVING.START_FACTOR;
  const neededMs = costMs * factor;
  const own = loads.find(({ dataCentre }) => dataCentre === ownDataCentre);
  const flows = own === undefined ? [] : listFlows(own, loads);
  if (own === undefined || flows.length === 0) {
    return { shares: [], gainMs: 0, costMs: neededMs };
  }
  const gainMs = computeGainMs(own, flows, 0, situation);
  const part = findPart(
    (tried) => computeGainMs(own, flows, tried, situation) >= neededMs,
  );
  const shares = flows
    .map(({ to, requests }) => ({
      dataCentre: to.dataCentre,
      share: (requests * part) / own.demand,
    }))
    .filter(({ share }) => share >= LEAVING.MIN_SHARE);
  return { shares: orderShares(shares), gainMs, costMs: neededMs };
}

function listFlows(
  own: DataCentreLoad,
  loads: readonly DataCentreLoad[],
): readonly Flow[] {
  const demand = loads.reduce((sum, load) => sum + load.demand, 0);
  const slots = loads.reduce((sum, load) => sum + load.slots, 0);
  const countExcess = (load: DataCentreLoad) =>
    load.demand - (load.slots * demand) / Math.max(1, slots);
  const excess = countExcess(own);
  const rooms = loads
    .map((to) => ({ to, room: -countExcess(to) }))
    .filter(({ to, room }) => room > 0 && to.slots > 0);
  const allRoom = rooms.reduce((sum, { room }) => sum + room, 0);
  return excess <= 0
    ? []
    : rooms.map(({ to, room }) => ({
        to,
        requests: (excess * room) / allRoom,
      }));
}

/** Computes what the next request to leave saves after a part of the flow. */
function computeGainMs(
  own: DataCentreLoad,
  flows: readonly Flow[],
  part: number,
  { slotsEach, meanServiceMs, unseen }: LeavingSituation,
): number {
  const leaving = flows.reduce((sum, { requests }) => sum + requests, 0) * part;
  // The older the news, the more the upstreams' numbers differ.
  const estimate = (requests: number, slots: number, unseenEach: number) => {
    const mean = (requests * slotsEach) / Math.max(1, slots);
    const variance = mean * LEAVING.SPREAD ** 2 + unseenEach;
    const crowd = { mean, variance, slots: slotsEach, meanServiceMs };
    return estimateCrowdingMs(crowd);
  };
  const nearMs = estimate(own.demand - leaving, own.slots, unseen.near);
  const farDemand = flows.reduce((sum, { to }) => sum + to.demand, 0);
  const farSlots = flows.reduce((sum, { to }) => sum + to.slots, 0);
  return nearMs - estimate(farDemand + leaving, farSlots, unseen.far);
}

/** Finds the largest part of the flow that pays; the gain falls with the part. */
function findPart(pays: (part: number) => boolean): number {
  if (!pays(0)) {
    return 0;
  }
  if (pays(1)) {
    return 1;
  }
  return Array.from({ length: LEAVING.SEARCH_STEPS }).reduce(
    (range: { readonly low: number; readonly high: number }) => {
      const middle = (range.low + range.high) / 2;
      return pays(middle)
        ? { low: middle, high: range.high }
        : { low: range.low, high: middle };
    },
    { low: 0, high: 1 },
  ).low;
}

/** All instances list data centres alike, so that prompts stay where they are. */
function orderShares(shares: readonly LeavingShare[]): readonly LeavingShare[] {
  return shares.toSorted((a, b) => (a.dataCentre < b.dataCentre ? -1 : 1));
}
