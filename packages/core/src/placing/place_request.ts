import { listAtHome } from "../leaving/list_at_home.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { chooseSoonest } from "./choose_soonest.ts";
import { PLACING } from "./constants.ts";
import { estimateWaitMs } from "./estimate_wait_ms.ts";
import { findExclusion } from "./find_exclusion.ts";
import type { Candidate, Placement, PlaceRequest } from "./types.ts";

type RatedCandidate = {
  readonly candidate: Candidate;
  readonly waitMs: number;
  readonly load: number;
};

/**
 * Chooses an upstream for an online request. Free slots are preferred to slots
 * that a batch item has to yield, and those to a queue, whose wait counts by the
 * upstream's speed. Among upstreams within
 * `AFFINITY_SLACK` of the least load, the own data centre comes first, then
 * rendezvous hashing by the prompt's shared prefix, so that prompts with the
 * same prefix go to the same upstream. Upstreams that limit their requests come
 * after the others, so that what they take is left for a rise of traffic. Under
 * overload a queue is accepted while its wait meets the objective, then up to the
 * caller's longest wait; beyond that the result says when an upstream is expected
 * to have room.
 */
export function placeRequest(request: PlaceRequest): Placement {
  const usable = request.candidates
    .filter((candidate) => findExclusion(candidate, request) === undefined)
    .map((candidate) => describeCandidate(candidate, request));
  if (usable.length === 0) {
    return request.candidates.some(({ entry }) => !entry.isDraining)
      ? { kind: "full", freeInMs: request.meanServiceMs }
      : { kind: "none" };
  }
  const trusted = usable.filter(
    ({ candidate }) => candidate.suspectUntilMs <= request.nowMs,
  );
  return (
    pickCandidate(trusted, request, computeMaxQueueWaitMs(request)) ??
    pickCandidate(trusted, request, request.maxWaitMs) ??
    pickCandidate(usable, request, request.maxWaitMs) ?? {
      kind: "full",
      freeInMs: Math.min(...usable.map(({ waitMs }) => waitMs)),
    }
  );
}

function computeMaxQueueWaitMs({
  objectiveLeftMs,
  maxWaitMs,
}: PlaceRequest): number {
  return Math.min(
    maxWaitMs,
    Math.max(0, objectiveLeftMs) * PLACING.MAX_QUEUE_WAIT_SHARE,
  );
}

function describeCandidate(
  candidate: Candidate,
  request: PlaceRequest,
): RatedCandidate {
  const { entry, open: inFlight, isLimited } = candidate;
  const isCold = entry.coldUntilMs > request.nowMs;
  const serviceMs = request.meanServiceMs * (candidate.slowness ?? 1);
  const freeWaitMs = estimateWaitMs(entry, inFlight, serviceMs);
  // A slot that an item yields is used before a request of a limit.
  const waitMs = isLimited
    ? Math.max(freeWaitMs, PLACING.YIELD_MS)
    : freeWaitMs;
  // With all slots in use, batch items yield theirs, so they add no load.
  const countedWork =
    waitMs > 0 ? inFlight.online : inFlight.online + inFlight.batch;
  return {
    candidate,
    waitMs,
    load:
      countedWork +
      candidate.unseen +
      (isCold ? PLACING.COLD_LOAD_PENALTY : 0) +
      (isLimited ? entry.slots + PLACING.AFFINITY_SLACK : 0),
  };
}

/** Lists the candidates that pay, if that is weighed. */
function listInReach(
  rated: readonly RatedCandidate[],
  { leaving, ownDataCentre, meanServiceMs }: PlaceRequest,
): readonly RatedCandidate[] {
  return leaving === undefined
    ? rated
    : listAtHome(rated, { ...leaving, ownDataCentre, meanServiceMs });
}

function pickCandidate(
  rated: readonly RatedCandidate[],
  request: PlaceRequest,
  maxWaitMs: number,
): Placement | undefined {
  const withinWait = listInReach(
    rated.filter(({ waitMs }) => waitMs <= maxWaitMs),
    request,
  );
  if (withinWait.length === 0) {
    return undefined;
  }
  const soonest = chooseSoonest(withinWait, request.meanServiceMs);
  const leastLoad = Math.min(...soonest.map(({ load }) => load));
  const leastLoaded = soonest.filter(
    ({ load }) => load <= leastLoad + PLACING.AFFINITY_SLACK,
  );
  const inOwnDataCentre = leastLoaded.filter(
    ({ candidate }) => candidate.entry.dataCentre === request.ownDataCentre,
  );
  const pool = inOwnDataCentre.length > 0 ? inOwnDataCentre : leastLoaded;
  const ids = pool.map(({ candidate }) => candidate.entry.id);
  const [bestId] = rankByRendezvous(request.affinityKey, ids);
  const chosen = pool.find(({ candidate }) => candidate.entry.id === bestId);
  return chosen === undefined
    ? undefined
    : {
        kind: "placed",
        upstream: chosen.candidate.entry,
        waitMs: chosen.waitMs,
      };
}
