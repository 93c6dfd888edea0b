import type { InstanceState } from "../instance/types.ts";
import { MEMBERSHIP } from "./constants.ts";
import type { Member } from "./types.ts";

/**
 * Lists the other instances of the own data centre whose last heartbeat is at
 * most `LIVENESS_TIMEOUT_MS` old.
 */
export function listLivePeers(
  { self, membership }: InstanceState,
  nowMs: number,
): readonly Member[] {
  return Object.values(membership.members).filter(
    ({ dataCentre, lastSeenMs }) =>
      dataCentre === self.dataCentre &&
      lastSeenMs > 0 &&
      nowMs - lastSeenMs <= MEMBERSHIP.LIVENESS_TIMEOUT_MS,
  );
}
