import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import type {
  PendingCall,
  PlatformAnswer,
  PlatformRecord,
} from "../platform/types.ts";
import { parseInstanceRecord } from "./parse_instance_record.ts";
import type { MembershipState } from "./types.ts";

/** Takes the platform's answer about this instance's own record. */
export function handleOwnRecord(
  state: InstanceState,
  asked: PendingCall,
  {
    answer,
    nowMs,
  }: { readonly answer: PlatformAnswer; readonly nowMs: number },
): Step {
  switch (answer.kind) {
    case "got":
      return noteRead(state, answer.record, { askedMs: asked.askedMs, nowMs });
    case "written":
      return {
        state: takeNumber(state, answer.version, asked.askedMs),
        effects: [],
      };
    default:
      return { state: setMembership(state, { isAsking: false }), effects: [] };
  }
}

function noteRead(
  state: InstanceState,
  record: PlatformRecord | undefined,
  { askedMs, nowMs }: { readonly askedMs: number; readonly nowMs: number },
): Step {
  const { membership, self } = state;
  const held = record && parseInstanceRecord(record.value);
  const isOwn = held?.incarnation === self.incarnation;
  if (isOwn && held.state === "live" && record !== undefined) {
    return {
      state: takeNumber(state, record.version, askedMs),
      effects: [],
    };
  }
  if (membership.standing === "current" && !isOwn) {
    return {
      state: setMembership(state, { isAsking: false, standing: "superseded" }),
      effects: [],
    };
  }
  return writeSelf(state, record?.version ?? 0, nowMs);
}

/** Names this incarnation in the platform under a new number. */
function writeSelf(state: InstanceState, expect: number, nowMs: number): Step {
  const { self } = state;
  const value = JSON.stringify({
    incarnation: self.incarnation,
    dataCentre: self.dataCentre,
    state: "live",
  });
  const key = `instances/${self.instanceId}`;
  const joining = setMembership(state, { standing: "joining", number: 0 });
  return requestPlatformCall(
    joining,
    { kind: "cas", key, value, expect },
    {
      purpose: { feature: "membership", what: "own", id: self.instanceId },
      nowMs,
    },
  );
}

/** Takes up a number; what peers confirmed of an earlier one is void. */
function takeNumber(
  state: InstanceState,
  number: number,
  provenMs: number,
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
    isAsking: false,
    standing: "current",
    number,
    provenMs,
  });
}

function setMembership(
  state: InstanceState,
  change: Partial<MembershipState>,
): InstanceState {
  return { ...state, membership: { ...state.membership, ...change } };
}
