import type { Candidate } from "../placing/types.ts";
import { estimateCrowdingMs } from "./estimate_crowding_ms.ts";

type Waiting = {
  readonly candidate: Pick<Candidate, "entry" | "open" | "unseen" | "slowness">;
  readonly waitMs: number;
};

/** What a request weighs before it is placed elsewhere than meant. */
type HomeChoice = {
  /** The data centre that it is meant for. */
  readonly home: string;
  readonly ownDataCentre: string;
  /** Wait that it has to save elsewhere, in ms. */
  readonly costMs: number;
  readonly meanServiceMs: number;
};

/**
 * Lists the candidates of the data centre that a request is meant for; all of
 * them if it saves more than the cost elsewhere. Requests that are likely to have
 * come since the last news count. Without any there, the own data centre comes
 * first.
 */
export function listAtHome<One extends Waiting>(
  rated: readonly One[],
  choice: HomeChoice,
): readonly One[] {
  const { home, ownDataCentre, costMs, meanServiceMs } = choice;
  const at = (dataCentre: string) =>
    rated.filter(({ candidate }) => candidate.entry.dataCentre === dataCentre);
  const atOwn = at(ownDataCentre);
  const atHome = at(home).length > 0 ? at(home) : atOwn;
  const findShortest = (some: readonly One[]) =>
    Math.min(...some.map((one) => estimateLikelyWaitMs(one, meanServiceMs)));
  const homeMs = findShortest(atHome);
  // The way back to the own data centre crosses nothing.
  if (atOwn.length > 0 && findShortest(atOwn) <= homeMs) {
    return atOwn;
  }
  return homeMs - findShortest(rated) <= costMs ? atHome : rated;
}

/** Estimates the wait with the requests that are not reported yet, in ms. */
function estimateLikelyWaitMs(
  { candidate, waitMs }: Waiting,
  meanServiceMs: number,
): number {
  const { entry, open, unseen, slowness = 1 } = candidate;
  const likelyMs = estimateCrowdingMs({
    mean: open.online + unseen,
    variance: unseen,
    slots: entry.slots,
    meanServiceMs: meanServiceMs * slowness,
  });
  return Math.max(waitMs, likelyMs);
}
