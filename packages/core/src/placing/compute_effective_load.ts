import type { Candidate } from "./types.ts";

/**
 * Computes an upstream's load as the number of items with which a usual one would
 * take as long. Work takes twice as long at a full upstream as at an idle one; of
 * two with the same load it ends sooner at the faster.
 */
export function computeEffectiveLoad(
  { entry, slowness = 1 }: Pick<Candidate, "entry" | "slowness">,
  load: number,
): number {
  return slowness === 1 ? load : (load + entry.slots) * slowness - entry.slots;
}
