import type { InstanceState } from "../instance/types.ts";
import type { Upstream } from "../upstreams/types.ts";
import { listDataCentreInstances } from "./list_data_centre_instances.ts";
import { SLOT_TIMES } from "./slot_times.ts";

/**
 * Counts the slots that this instance may use at an upstream: the granted ones,
 * or, without a valid grant, its base share if the upstream is warm, in the own
 * data centre and has responded here recently.
 */
export function countUsableSlots(
  state: InstanceState,
  upstream: Upstream,
  nowMs: number,
): number {
  if (upstream.isLeaving || nowMs < upstream.suspectUntilMs) {
    return 0;
  }
  if (nowMs < upstream.allowanceUntilMs) {
    return upstream.allowance;
  }
  const isLocal = upstream.dataCentre === state.self.dataCentre;
  const isWarm =
    upstream.knownAllowance >= upstream.maxConcurrency &&
    upstream.errorStreak === 0 &&
    upstream.lastAnswerMs >= 0 &&
    nowMs - upstream.lastAnswerMs < SLOT_TIMES.RECENT_RESPONSE_MS;
  return isLocal && isWarm
    ? Math.floor(
        upstream.maxConcurrency /
          listDataCentreInstances(state, upstream.dataCentre).length,
      )
    : 0;
}
