import type { InstanceState } from "../instance/types.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { listPeers } from "./list_peers.ts";
import { MEMBERSHIP_TIMES } from "./membership_times.ts";
import type { Member } from "./types.ts";

const DELEGATE_COUNT = 2;

/**
 * Lists whom an instance sends heartbeats: all of its data centre, and where
 * it is one of its data centre's two delegates, those of the others.
 */
export function listContacts(
  state: InstanceState,
  nowMs: number,
): readonly Member[] {
  const { self } = state;
  const peers = listPeers(state);
  const live = peers
    .filter(({ heardMs }) => nowMs - heardMs <= MEMBERSHIP_TIMES.SILENT_MS)
    .map(({ instanceId }) => instanceId);
  const delegates = rankByRendezvous(`delegate|${self.dataCentre}`, [
    self.instanceId,
    ...live,
  ]).slice(0, DELEGATE_COUNT);
  return delegates.includes(self.instanceId)
    ? [...peers, ...listFarDelegates(state)]
    : peers;
}

function listFarDelegates({
  membership,
  self,
}: InstanceState): readonly Member[] {
  const far = Object.values(membership.members).filter(
    ({ dataCentre }) => dataCentre !== self.dataCentre,
  );
  const places = [...new Set(far.map(({ dataCentre }) => dataCentre))];
  return places.flatMap((place) => {
    const there = far
      .filter(({ dataCentre }) => dataCentre === place)
      .map(({ instanceId }) => instanceId);
    return rankByRendezvous(`delegate|${place}`, there)
      .slice(0, DELEGATE_COUNT)
      .flatMap((id) => membership.members[id] ?? []);
  });
}
