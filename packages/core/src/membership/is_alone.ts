import type { InstanceState } from "../instance/types.ts";

/** Whether nothing was ever heard of a platform or of another instance. */
export function isAlone({ membership, platform }: InstanceState): boolean {
  return (
    platform.heardMs === 0 &&
    membership.number === 0 &&
    Object.keys(membership.members).length === 0
  );
}
