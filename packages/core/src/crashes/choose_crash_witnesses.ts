import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { CRASHES } from "./constants.ts";
import type { Crash } from "./types.ts";

/** An instance that may look whether an upstream is down. */
type WitnessCandidate = { readonly id: string; readonly dataCentre: string };

/**
 * Chooses the instances that look whether an upstream is down, besides those
 * that already did. Those of other data centres come first, as a cut may concern
 * all of one.
 */
export function chooseCrashWitnesses(
  { upstreamId, downAt, reachedAt }: Crash,
  candidates: readonly WitnessCandidate[],
): readonly string[] {
  const seenBy = new Set([...downAt, ...reachedAt]);
  const seenIn = new Set(
    candidates
      .filter(({ id }) => seenBy.has(id))
      .map(({ dataCentre }) => dataCentre),
  );
  const others = candidates.filter(({ id }) => !seenBy.has(id));
  const far = others.filter(({ dataCentre }) => !seenIn.has(dataCentre));
  const near = others.filter(({ dataCentre }) => seenIn.has(dataCentre));
  return [far, near]
    .flatMap((group) =>
      rankByRendezvous(
        upstreamId,
        group.map(({ id }) => id),
      ),
    )
    .slice(0, CRASHES.ASKED_WITNESSES);
}
