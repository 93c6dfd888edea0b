import type { InstanceId } from "../ids/types.ts";
import type { Effect, InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import type {
  PendingCall,
  PlatformAnswer,
  PlatformRecord,
} from "../platform/types.ts";
import { adoptGroup } from "./adopt_group.ts";
import { buildGroupKey } from "./build_group_key.ts";
import { parseGroup } from "./parse_group.ts";
import { planRebalance } from "./plan_rebalance.ts";
import { setRebalance } from "./set_rebalance.ts";
import { SHARE_TIMES } from "./share_times.ts";
import type { Group } from "./types.ts";

const PREFIX = "shares/";

/** Handles the platform's answer to a call about shares. */
export function handleSharesAnswer(
  state: InstanceState,
  call: PendingCall,
  {
    answer,
    nowMs,
  }: { readonly answer: PlatformAnswer; readonly nowMs: number },
): Step {
  const { operation, id } = call.purpose;
  switch (answer.kind) {
    case "listed":
      return operation === "instances"
        ? planRebalance(state, { groupId: id, records: answer.records }, nowMs)
        : adoptListedGroups(state, answer.records, nowMs);
    case "got": {
      const group = readGroup(answer.record);
      const after = adoptGroup(state, { groupId: id, group }, nowMs);
      return { state: after, effects: [] };
    }
    case "written":
      return handleWrittenGroup(state, call, {
        version: answer.version,
        nowMs,
      });
    case "conflict": {
      const group = readGroup(answer.current);
      const after = adoptGroup(state, { groupId: id, group }, nowMs);
      return { state: stopRebalance(after, call, nowMs), effects: [] };
    }
    default:
      return readGroupAgain(stopRebalance(state, call, nowMs), call, nowMs);
  }
}

function adoptListedGroups(
  state: InstanceState,
  records: readonly PlatformRecord[],
  nowMs: number,
): Step {
  const listed = records.map(({ key }) => key.slice(PREFIX.length));
  const customers = Object.keys(state.config?.document.customers ?? {});
  const ids = [...new Set([...listed, ...customers.map(buildGroupKey)])];
  const after = ids.reduce(
    (current, groupId) => {
      const record = records.find(({ key }) => key === `${PREFIX}${groupId}`);
      return adoptGroup(current, { groupId, group: readGroup(record) }, nowMs);
    },
    setCoordinationDue(state, nowMs),
  );
  return { state: after, effects: [] };
}

/** Makes the next tick check all groups, so that new ones are divided. */
function setCoordinationDue(
  state: InstanceState,
  nowMs: number,
): InstanceState {
  return { ...state, shares: { ...state.shares, nextCoordinationMs: nowMs } };
}

function readGroup(record: PlatformRecord | undefined): Group | undefined {
  const parsed = record && parseGroup(record.value);
  return record === undefined || parsed === undefined
    ? undefined
    : { version: record.version, record: parsed };
}

/** Adopts a record written by this instance and notifies affected holders. */
function handleWrittenGroup(
  state: InstanceState,
  { call, purpose: { id } }: PendingCall,
  { version, nowMs }: { readonly version: number; readonly nowMs: number },
): Step {
  const value = call.kind === "cas" ? call.value : "";
  const record = parseGroup(value);
  if (record === undefined) {
    return { state, effects: [] };
  }
  const before = state.shares.groups[id]?.record.limits ?? {};
  const after = adoptGroup(
    state,
    { groupId: id, group: { version, record } },
    nowMs,
  );
  const tables = [...Object.values(before), ...Object.values(record.limits)];
  const affected = new Set(tables.flatMap((table) => Object.keys(table)));
  affected.delete(state.self.instanceId);
  const effects: readonly Effect[] = [...affected].map((to) => ({
    kind: "send-peer",
    to: to as InstanceId,
    message: { kind: "shares-written", group: id, version, value },
  }));
  const nextMs = nowMs + SHARE_TIMES.REBALANCE_MS;
  return {
    state: setRebalance(after, id, { rebalance: undefined, nextMs }),
    effects,
  };
}

function stopRebalance(
  state: InstanceState,
  { purpose: { operation, id } }: PendingCall,
  nowMs: number,
): InstanceState {
  const isRebalance = operation === "instances" || operation === "rebalance";
  const nextMs = nowMs + SHARE_TIMES.RETRY_MS;
  return isRebalance
    ? setRebalance(state, id, { rebalance: undefined, nextMs })
    : state;
}

/** Reads the record again, since an unanswered write may have succeeded. */
function readGroupAgain(
  state: InstanceState,
  { call, purpose: { id } }: PendingCall,
  nowMs: number,
): Step {
  return call.kind === "cas"
    ? requestPlatformCall(
        state,
        { kind: "get", key: call.key },
        { purpose: { feature: "shares", operation: "get", id }, nowMs },
      )
    : { state, effects: [] };
}
