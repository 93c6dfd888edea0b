import type { MembershipState } from "./types.ts";

/** Creates the membership state of an instance at startup. */
export function createMembership(): MembershipState {
  return {
    members: {},
    nextHeartbeatMs: 0,
    nextDelegateMs: 0,
    isSelfListed: false,
    incarnationStatus: "joining",
    number: 0,
    verifiedMs: 0,
    nextVerifyMs: 0,
    isCallPending: false,
    lastStepMs: 0,
    resumedMs: 0,
  };
}
