import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { isConfirmedByMajority } from "./is_confirmed_by_majority.ts";
import { MEMBERSHIP_TIMES } from "./membership_times.ts";

/**
 * Reads this instance's own record from the platform when due: to register at
 * startup, and later to verify that no other incarnation has taken over its
 * id. The interval is longer while a majority of peers confirms it.
 */
export function requestOwnRecord(state: InstanceState, nowMs: number): Step {
  const { membership, self } = state;
  const isDue = nowMs >= membership.nextVerifyMs;
  if (
    !isDue ||
    membership.isCallPending ||
    membership.incarnationStatus === "superseded"
  ) {
    return { state, effects: [] };
  }
  const { VERIFY_INTERVAL_MS, CONFIRMED_VERIFY_INTERVAL_MS } = MEMBERSHIP_TIMES;
  const intervalMs = isConfirmedByMajority(state, nowMs)
    ? CONFIRMED_VERIFY_INTERVAL_MS
    : VERIFY_INTERVAL_MS;
  const pending: InstanceState = {
    ...state,
    membership: {
      ...membership,
      isCallPending: true,
      nextVerifyMs: nowMs + intervalMs,
    },
  };
  const key = `instances/${self.instanceId}`;
  return requestPlatformCall(
    pending,
    { kind: "get", key },
    {
      purpose: { feature: "membership", operation: "own", id: self.instanceId },
      nowMs,
    },
  );
}
