import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import type { PlatformCall } from "../platform/types.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import { groupBy } from "../shared/group_by.ts";
import { answerClaim } from "./answer_claim.ts";
import { CLAIMS } from "./constants.ts";
import { setGroup } from "./set_group.ts";
import type { ClaimGroup, ClaimRecord, PendingClaim } from "./types.ts";

/** Does the next thing for a group of claims: reads it, or writes to it. */
export function advanceClaimGroup(
  state: InstanceState,
  id: string,
  nowMs: number,
): Step {
  const held = state.claims.groups[id];
  if (held === undefined || held.isAsking || held.pending.length === 0) {
    return { state, effects: [] };
  }
  const pending = held.pending.filter(
    ({ askedMs, isRelease }) =>
      nowMs - askedMs < (isRelease ? CLAIMS.RELEASE_MS : CLAIMS.PENDING_MS),
  );
  const group = { ...held, pending };
  if (pending.length === 0 || nowMs < group.nextFlushMs) {
    return { state: setGroup(state, id, group), effects: [] };
  }
  if (!group.isLoaded) {
    const call = { kind: "list", prefix: `claims/${id}/` } as const;
    return ask(state, id, { group, call, nowMs });
  }
  const decided = answerKnown(setGroup(state, id, group), id);
  return chainStep(decided, (at) => writePending(at, id, nowMs));
}

/** Answers what the group's records already tell. */
function answerKnown(state: InstanceState, id: string): Step {
  const group = state.claims.groups[id];
  const pending = group?.pending ?? [];
  if (group === undefined) {
    return { state, effects: [] };
  }
  const readOwner = ({ claimKey }: PendingClaim): string =>
    getSharded(group.known, claimKey) ?? "";
  const known = pending.filter((claim) =>
    claim.isRelease
      ? readOwner(claim) !== claim.token
      : readOwner(claim) !== "",
  );
  const rest = pending.filter((claim) => !known.includes(claim));
  const asked = known.filter(({ isRelease }) => !isRelease);
  const left = setGroup(state, id, { ...group, pending: rest });
  return chainAll(left, asked, (at, claim) => {
    const isOwn = readOwner(claim) === claim.token;
    return answerClaim(at, claim, isOwn ? "granted" : "taken");
  });
}

/** Writes the group's waiting claims in one go, the first of each key. */
function writePending(state: InstanceState, id: string, nowMs: number): Step {
  const group = state.claims.groups[id];
  if (group === undefined || group.pending.length === 0) {
    return { state, effects: [] };
  }
  if (group.leaseId === undefined) {
    const ttlMs = CLAIMS.RETENTION_MS;
    const call = { kind: "grant-lease", ttlMs } as const;
    return ask(state, id, { group, call, nowMs });
  }
  const writing = listFirst(group.pending);
  const pending = group.pending.filter((claim) => !writing.includes(claim));
  const nextFlushMs = nowMs + CLAIMS.FLUSH_MS;
  const flushed = { ...group, writing, pending, nextFlushMs };
  const call = buildWrite(id, flushed, group.leaseId);
  return ask(state, id, { group: flushed, call, nowMs });
}

function listFirst(pending: readonly PendingClaim[]): readonly PendingClaim[] {
  return [...groupBy(pending, ({ claimKey }) => claimKey).values()].flatMap(
    (claims) => claims.slice(0, 1),
  );
}

function buildWrite(
  id: string,
  { number, version, claims, writing }: ClaimGroup,
  leaseId: string,
): PlatformCall {
  const added = writing.map(({ claimKey, token, isRelease }) => [
    claimKey,
    isRelease ? "" : token,
  ]);
  const all = { ...claims, ...Object.fromEntries(added) };
  const isClosed = Object.keys(all).length >= CLAIMS.RECORD_CLAIMS;
  const record: ClaimRecord = { isClosed, claims: all };
  const digits = String(number).padStart(CLAIMS.NUMBER_DIGITS, "0");
  return {
    kind: "cas",
    key: `claims/${id}/${digits}`,
    value: JSON.stringify(record),
    expect: version,
    leaseId,
  };
}

function ask(
  state: InstanceState,
  id: string,
  {
    group,
    call,
    nowMs,
  }: {
    readonly group: ClaimGroup;
    readonly call: PlatformCall;
    readonly nowMs: number;
  },
): Step {
  const asking = setGroup(state, id, { ...group, isAsking: true });
  const purpose = { feature: "claims", what: call.kind, id } as const;
  return requestPlatformCall(asking, call, { purpose, nowMs });
}
