import {
  type Candidate,
  EXCLUSIONS,
  type Exclusion,
  type PlaceRequest,
} from "./types.ts";

/** Finds why an upstream can't take a request; undefined if it can. */
export function findExclusion(
  { entry, isRateOpen }: Pick<Candidate, "entry" | "isRateOpen">,
  { tried }: Pick<PlaceRequest, "tried">,
): Exclusion | undefined {
  if (entry.isDraining) {
    return EXCLUSIONS.draining;
  }
  if (tried.has(entry.id)) {
    return EXCLUSIONS.tried;
  }
  return isRateOpen ? undefined : EXCLUSIONS.rate;
}
