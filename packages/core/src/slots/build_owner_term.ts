import type { InstanceState } from "../instance/types.ts";

/** Builds the id of this instance's current slot owner term; "" if none. */
export function buildOwnerTerm({ self, slots }: InstanceState): string {
  return slots.ownerSinceMs === undefined
    ? ""
    : `${self.incarnation}/${slots.ownerSinceMs}`;
}
