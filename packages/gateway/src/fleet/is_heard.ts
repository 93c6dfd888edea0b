import { computeLoadTimes } from "./compute_load_times.ts";
import type { FleetView } from "./fleet_view.ts";

/** Returns whether load messages still arrive from a peer itself. */
export function isHeard(
  view: Pick<FleetView, "load" | "members" | "readNowMs">,
  peerId: string,
): boolean {
  const { peerTimeoutMs } = computeLoadTimes(view.members.count());
  return view.load.hasDirectContact(peerId, peerTimeoutMs, view.readNowMs());
}
