import type { InstanceState } from "../instance/types.ts";
import type { Work } from "./types.ts";

/**
 * Returns whether work that starts now can finish by its deadline, judged by
 * the lowest mean run time among the service's upstreams.
 */
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
