import { INTAKE } from "./constants.ts";

/**
 * Chooses who gives way when there is no room: the first that holds more than a
 * little, else the first. The holders are given with those first that have made no
 * progress for longest.
 */
export function chooseYielder<T extends { readonly bytes: number }>(
  holders: Iterable<T>,
): T | undefined {
  const state: { first?: T } = {};
  // Ends at the first hit; there may be thousands.
  for (const holder of holders) {
    if (holder.bytes > INTAKE.SMALL_BYTES) {
      return holder;
    }
    state.first ??= holder;
  }
  return state.first;
}
