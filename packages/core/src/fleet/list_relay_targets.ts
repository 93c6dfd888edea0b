import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";

/** Instances that pass a message on, so that the loss of one is borne. */
const RELAYS = 2;

/**
 * Lists the peers to which this instance passes on what `origin` said: those
 * that hear this instance but not the origin. Of all that hear both, the first
 * by rank do it.
 */
export function listRelayTargets(
  origin: string,
  selfId: string,
  /** Of each peer heard here, the instances that it does not hear. */
  unheardBy: ReadonlyMap<string, readonly string[]>,
): readonly string[] {
  const misses = (id: string, other: string): boolean =>
    unheardBy.get(id)?.includes(other) === true;
  const peers = [...unheardBy.keys()].filter((id) => id !== origin);
  return peers.filter((target) => {
    if (!misses(target, origin)) {
      return false;
    }
    const relays = peers.filter(
      (id) => id !== target && !misses(id, origin) && !misses(target, id),
    );
    const ranked = rankByRendezvous(`${origin}/${target}`, [selfId, ...relays]);
    return ranked.slice(0, RELAYS).includes(selfId);
  });
}
