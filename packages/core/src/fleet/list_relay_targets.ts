import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";

/** Instances that relay each message; two, so that one may fail. */
const RELAY_COUNT = 2;

/**
 * Lists the peers to which this instance relays the messages of `origin`: those
 * that receive messages of this instance but not of the origin. Among the
 * instances that reach both, the first by rendezvous rank relay.
 */
export function listRelayTargets(
  origin: string,
  selfId: string,
  /** By reachable peer: the instances that it receives no messages from. */
  unheardBy: ReadonlyMap<string, ReadonlySet<string>>,
): readonly string[] {
  const isUnheard = (receiver: string, sender: string): boolean =>
    unheardBy.get(receiver)?.has(sender) === true;
  const peers = [...unheardBy.keys()].filter((id) => id !== origin);
  return peers.filter((target) => {
    if (!isUnheard(target, origin)) {
      return false;
    }
    const relays = peers.filter(
      (id) => id !== target && !isUnheard(id, origin) && !isUnheard(target, id),
    );
    const ranked = rankByRendezvous(`${origin}/${target}`, [selfId, ...relays]);
    return ranked.slice(0, RELAY_COUNT).includes(selfId);
  });
}
