import type { InstanceState } from "../instance/types.ts";

/** Names this instance's present term as a slot owner; "" for none. */
export function buildOwnerTerm({ self, slots }: InstanceState): string {
  return slots.ownerSinceMs === undefined
    ? ""
    : `${self.incarnation}/${slots.ownerSinceMs}`;
}
