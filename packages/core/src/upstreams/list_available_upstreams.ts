import type { InstanceState } from "../instance/types.ts";
import { countUsableSlots } from "../slots/count_usable_slots.ts";
import type { Upstream } from "./types.ts";

/** An upstream and the number of slots that this instance may use there. */
export type AvailableUpstream = {
  readonly upstream: Upstream;
  readonly slots: number;
};

/** Lists a service's upstreams where this instance has slots, free or not. */
export function listAvailableUpstreams(
  state: InstanceState,
  service: string,
  nowMs: number,
): readonly AvailableUpstream[] {
  return Object.values(state.upstreams)
    .filter((upstream) => upstream.service === service)
    .map((upstream) => ({
      upstream,
      slots: countUsableSlots(state, upstream, nowMs),
    }))
    .filter(({ slots }) => slots > 0);
}
