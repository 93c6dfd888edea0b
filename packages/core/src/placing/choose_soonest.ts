import { PLACING } from "./constants.ts";
import type { Candidate } from "./types.ts";

type Waiting = {
  readonly candidate: Pick<Candidate, "entry" | "slowness">;
  readonly waitMs: number;
};

/**
 * Chooses the candidates with the shortest wait. Waits at upstreams of different
 * speeds are never the same: those that differ by less than a place in a queue
 * count as equal, or all instances would choose the same upstream.
 */
export function chooseSoonest<One extends Waiting>(
  rated: readonly One[],
  meanServiceMs: number,
): readonly One[] {
  const shortestMs = Math.min(...rated.map(({ waitMs }) => waitMs));
  const [soonest] = rated.filter(({ waitMs }) => waitMs === shortestMs);
  return rated.filter(({ candidate, waitMs }) => {
    const { entry, slowness = 1 } = candidate;
    const isAlike = slowness === (soonest?.candidate.slowness ?? 1);
    const isQueue = shortestMs > PLACING.YIELD_MS;
    const placeMs = meanServiceMs / Math.max(1, entry.slots);
    return (
      waitMs === shortestMs ||
      (!isAlike && isQueue && waitMs - shortestMs < placeMs)
    );
  });
}
