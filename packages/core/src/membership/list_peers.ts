import type { InstanceState } from "../instance/types.ts";
import type { Member } from "./types.ts";

/** Lists the other instances of the own data centre, live or not. */
export function listPeers({
  membership,
  self,
}: InstanceState): readonly Member[] {
  return Object.values(membership.members).filter(
    ({ dataCentre }) => dataCentre === self.dataCentre,
  );
}
