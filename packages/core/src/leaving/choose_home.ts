import { hashText } from "../shared/hash_text.ts";
import type { LeavingPlan } from "./types.ts";

const HASH_RANGE = 2 ** 32;

/**
 * Chooses the data centre that a request is meant for: the own one, unless it
 * belongs to the part that leaves. The key decides, so that requests with the
 * same prompt prefix leave together and find their prompt there.
 */
export function chooseHome(
  { shares }: Pick<LeavingPlan, "shares">,
  ownDataCentre: string,
  affinityKey: string,
): string {
  const position = hashText(`home|${affinityKey}`) / HASH_RANGE;
  const bounds = shares.map(({ dataCentre }, n) => ({
    dataCentre,
    upTo: shares.slice(0, n + 1).reduce((sum, { share }) => sum + share, 0),
  }));
  return (
    bounds.find(({ upTo }) => position < upTo)?.dataCentre ?? ownDataCentre
  );
}
