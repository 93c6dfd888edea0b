import type { InstanceState } from "../instance/types.ts";
import { countSlots } from "../slots/count_slots.ts";
import type { Upstream } from "./types.ts";

/** An upstream and the number of slots that this instance may use there. */
export type OpenUpstream = {
  readonly upstream: Upstream;
  readonly slots: number;
};

/** Lists a service's upstreams where this instance has slots, free or not. */
export function listOpen(
  state: InstanceState,
  service: string,
  nowMs: number,
): readonly OpenUpstream[] {
  return Object.values(state.upstreams)
    .filter((upstream) => upstream.service === service)
    .map((upstream) => ({
      upstream,
      slots: countSlots(state, upstream, nowMs),
    }))
    .filter(({ slots }) => slots > 0);
}
