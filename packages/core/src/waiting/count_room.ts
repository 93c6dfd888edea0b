import type { Candidate } from "../placing/types.ts";
import { WAITING } from "./constants.ts";

/** What the upstreams of a service can take, as far as is known here. */
export type UpstreamRoom = {
  /** Whether any upstream can be used. */
  readonly isUsable: boolean;
  /** Whether one of those may be sent another request. */
  readonly isOpen: boolean;
  /** Their slots, and the requests in flight at upstreams that can't be used. */
  readonly slots: number;
};

/**
 * Counts the slots of the upstreams that can be used. Requests at the others hold
 * on to slots of their own: they are part of what instances have in flight.
 */
export function countRoom(
  candidates: readonly Candidate[],
  nowMs: number,
): UpstreamRoom {
  const isUsable = ({ entry, suspectUntilMs }: Candidate) =>
    !entry.isDraining && suspectUntilMs <= nowMs;
  const usable = candidates.filter(isUsable);
  const others = candidates.filter((one) => !isUsable(one));
  const slots = usable.reduce((sum, { entry }) => sum + entry.slots, 0);
  const stuck = others.reduce((sum, { open }) => sum + open.online, 0);
  return {
    isUsable: usable.length > 0,
    // A rate's next token comes soon: what waits for it keeps its place.
    isOpen: usable.some(
      ({ entry, open, isRateOpen }) =>
        isRateOpen && open.online < entry.slots + WAITING.UPSTREAM_QUEUE,
    ),
    slots: slots + stuck,
  };
}
