import type { InstanceState } from "../instance/types.ts";
import { countSlots } from "../slots/count_slots.ts";
import type { Upstream } from "./types.ts";

/** An upstream and the slots that this instance has there. */
export type OpenUpstream = {
  readonly upstream: Upstream;
  readonly slots: number;
};

/** Lists the upstreams of a service at which this instance has slots. */
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
