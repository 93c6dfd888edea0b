import type { InstanceState } from "../instance/types.ts";
import type { Work } from "./types.ts";

/** Whether work that starts now can still end by its deadline. */
export function canMeetDeadline(
  state: InstanceState,
  { order }: Work,
  nowMs: number,
): boolean {
  const runs = Object.values(state.upstreams)
    .filter(({ service, run }) => service === order.service && run.count > 0)
    .map(({ run }) => run.meanMs);
  const expectedRunMs = runs.length === 0 ? 0 : Math.min(...runs);
  return nowMs + expectedRunMs <= order.deadlineMs;
}
