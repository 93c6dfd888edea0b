import { REACH } from "./constants.ts";
import type { PassingChoice, PassingPeer } from "./types.ts";

/**
 * Chooses the peer to which a request is passed on: one that reaches upstreams, of
 * the own data centre unless others have clearly less to do, at random among those
 * with about the least. One that was just unable is chosen only if there is no
 * other.
 */
export function choosePassingPeer({
  peers,
  tried,
  ownDataCentre,
  nowMs,
  random,
}: PassingChoice): PassingPeer | undefined {
  const taking = peers.filter(({ id, isTaking }) => isTaking && !tried.has(id));
  const sound = taking.filter(({ avoidedUntilMs }) => avoidedUntilMs <= nowMs);
  const rated = (sound.length > 0 ? sound : taking).map((peer) => ({
    peer,
    load:
      peer.open + (peer.dataCentre === ownDataCentre ? 0 : REACH.DISTANCE_LOAD),
  }));
  const least = Math.min(...rated.map(({ load }) => load));
  const near = rated.filter(({ load }) => load <= least + REACH.LOAD_SLACK);
  return near[Math.floor(random * near.length)]?.peer;
}
