import { groupBy } from "../shared/group_by.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import type { FleetMember } from "./types.ts";

/**
 * Lists the peers that a load message is sent to: all of the own data centre,
 * and one instance of each other, which passes it on within its own. A message
 * so crosses to a data centre once. Another instance is chosen in each round, so
 * that one that is lost or cut off costs its share of the messages only; those
 * that are not reached are passed over while others are.
 */
export function listMessageTargets(
  self: Pick<FleetMember, "id" | "dataCentre">,
  peers: readonly FleetMember[],
  isReachable: (peerId: string) => boolean,
  round: number,
): readonly FleetMember[] {
  const near = peers.filter(({ dataCentre }) => dataCentre === self.dataCentre);
  const far = peers.filter(({ dataCentre }) => dataCentre !== self.dataCentre);
  const entries = [...groupBy(far, ({ dataCentre }) => dataCentre).values()];
  return [
    ...near,
    ...entries.flatMap((members) => {
      const reachable = members.filter(({ id }) => isReachable(id));
      const usable = reachable.length > 0 ? reachable : members;
      const byId = new Map(usable.map((member) => [member.id, member]));
      const ranked = rankByRendezvous(self.id, [...byId.keys()]);
      return byId.get(ranked[round % ranked.length] ?? "") ?? [];
    }),
  ];
}
