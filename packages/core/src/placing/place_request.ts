import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { PLACING } from "./constants.ts";
import { countWaitMs } from "./count_wait_ms.ts";
import type { Candidate, Placement, PlaceRequest } from "./types.ts";

type Rated = {
  readonly candidate: Candidate;
  readonly waitMs: number;
  readonly load: number;
};

/**
 * Places an online request. An upstream without a queue goes before one where
 * a batch item has to make room, and that before one with a queue; among those about as empty as the emptiest, one of the own data
 * centre, then the one that holds the prompt's shared part. Answers the load
 * in which slots run short: a queue is entered while the wait in it still
 * makes the objective, then while the caller's patience bears it, and past
 * that the request is told when there is room.
 */
export function placeRequest(request: PlaceRequest): Placement {
  const usable = request.candidates
    .filter(({ entry }) => !entry.isDraining)
    .filter(({ entry }) => !request.tried.has(entry.id))
    .filter(({ isRampOpen }) => isRampOpen)
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
    pickWithin(trusted, request, countAllowedMs(request)) ??
    pickWithin(trusted, request, request.patienceMs) ??
    pickWithin(usable, request, request.patienceMs) ?? {
      kind: "full",
      freeInMs: Math.min(...usable.map(({ waitMs }) => waitMs)),
    }
  );
}

function countAllowedMs({ objectiveLeftMs, patienceMs }: PlaceRequest): number {
  return Math.min(
    patienceMs,
    Math.max(0, objectiveLeftMs) * PLACING.QUEUE_SHARE,
  );
}

function describeCandidate(candidate: Candidate, request: PlaceRequest): Rated {
  const { entry, open } = candidate;
  const isCold = entry.coldUntilMs > request.nowMs;
  const waitMs = countWaitMs(entry, open, request.meanServiceMs);
  // Where all slots are taken, batch items are those that make room.
  const work = waitMs > 0 ? open.online : open.online + open.batch;
  return {
    candidate,
    waitMs,
    load: work + (isCold ? PLACING.COLD_PENALTY : 0),
  };
}

function pickWithin(
  rated: readonly Rated[],
  request: PlaceRequest,
  maxWaitMs: number,
): Placement | undefined {
  const waiting = rated.filter(({ waitMs }) => waitMs <= maxWaitMs);
  if (waiting.length === 0) {
    return undefined;
  }
  const shortest = Math.min(...waiting.map(({ waitMs }) => waitMs));
  const quick = waiting.filter(({ waitMs }) => waitMs === shortest);
  const least = Math.min(...quick.map(({ load }) => load));
  const near = quick.filter(
    ({ load }) => load <= least + PLACING.AFFINITY_SLACK,
  );
  const own = near.filter(
    ({ candidate }) => candidate.entry.dataCentre === request.ownDataCentre,
  );
  const pool = own.length > 0 ? own : near;
  const ids = pool.map(({ candidate }) => candidate.entry.id);
  const [best] = rankByRendezvous(request.affinityKey, ids);
  const chosen = pool.find(({ candidate }) => candidate.entry.id === best);
  return chosen === undefined
    ? undefined
    : {
        kind: "placed",
        upstream: chosen.candidate.entry,
        waitMs: chosen.waitMs,
      };
}
