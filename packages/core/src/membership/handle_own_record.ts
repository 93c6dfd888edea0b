import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import type {
  PendingCall,
  PlatformAnswer,
  PlatformRecord,
} from "../platform/types.ts";
import { parseInstanceRecord } from "./parse_instance_record.ts";
import type { MembershipState } from "./types.ts";

/** Handles the platform's answer to a call for this instance's own record. */
export function handleOwnRecord(
  state: InstanceState,
  call: PendingCall,
  {
    answer,
    nowMs,
  }: { readonly answer: PlatformAnswer; readonly nowMs: number },
): Step {
  switch (answer.kind) {
    case "got":
      return handleRead(state, answer.record, {
        requestedMs: call.requestedMs,
        nowMs,
      });
    case "written":
      return {
        state: adoptNumber(state, answer.version, call.requestedMs),
        effects: [],
      };
    default:
      return {
        state: setMembership(state, { isCallPending: false }),
        effects: [],
      };
  }
}

function handleRead(
  state: InstanceState,
  record: PlatformRecord | undefined,
  {
    requestedMs,
    nowMs,
  }: { readonly requestedMs: number; readonly nowMs: number },
): Step {
  const { membership, self } = state;
  const stored = record && parseInstanceRecord(record.value);
  const isOwn = stored?.incarnation === self.incarnation;
  if (isOwn && stored.state === "live" && record !== undefined) {
    return {
      state: adoptNumber(state, record.version, requestedMs),
      effects: [],
    };
  }
  if (membership.incarnationStatus === "current" && !isOwn) {
    return {
      state: setMembership(state, {
        isCallPending: false,
        incarnationStatus: "superseded",
      }),
      effects: [],
    };
  }
  return writeOwnRecord(state, record?.version ?? 0, nowMs);
}

/**
 * Writes this incarnation into its instance record by compare-and-swap. The
 * record's new version becomes the incarnation's number.
 */
function writeOwnRecord(
  state: InstanceState,
  expect: number,
  nowMs: number,
): Step {
  const { self } = state;
  const value = JSON.stringify({
    incarnation: self.incarnation,
    dataCentre: self.dataCentre,
    state: "live",
  });
  const key = `instances/${self.instanceId}`;
  const joining = setMembership(state, {
    incarnationStatus: "joining",
    number: 0,
  });
  return requestPlatformCall(
    joining,
    { kind: "cas", key, value, expect },
    {
      purpose: { feature: "membership", operation: "own", id: self.instanceId },
      nowMs,
    },
  );
}

/**
 * Adopts the incarnation number. A changed number invalidates the peers'
 * earlier confirmations.
 */
function adoptNumber(
  state: InstanceState,
  number: number,
  verifiedMs: number,
): InstanceState {
  const { membership } = state;
  const members =
    number === membership.number
      ? membership.members
      : Object.fromEntries(
          Object.entries(membership.members).map(([id, member]) => [
            id,
            { ...member, confirmedMs: 0 },
          ]),
        );
  return setMembership(state, {
    members,
    isCallPending: false,
    incarnationStatus: "current",
    number,
    verifiedMs,
  });
}

function setMembership(
  state: InstanceState,
  change: Partial<MembershipState>,
): InstanceState {
  return { ...state, membership: { ...state.membership, ...change } };
}
