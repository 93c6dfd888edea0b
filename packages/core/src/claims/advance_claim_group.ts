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

/**
 * Advances a claim group: drops expired claims, loads the group's records,
 * answers the claims that they already decide, and writes the rest. One
 * platform call per group is in flight at a time.
 */
export function advanceClaimGroup(
  state: InstanceState,
  id: string,
  nowMs: number,
): Step {
  const existing = state.claims.groups[id];
  if (
    existing === undefined ||
    existing.isCallPending ||
    existing.pending.length === 0
  ) {
    return { state, effects: [] };
  }
  const pending = existing.pending.filter(
    ({ requestedMs, isRelease }) =>
      nowMs - requestedMs <
      (isRelease ? CLAIMS.RELEASE_TIMEOUT_MS : CLAIMS.PENDING_TIMEOUT_MS),
  );
  const group = { ...existing, pending };
  if (pending.length === 0 || nowMs < group.nextFlushMs) {
    return { state: setGroup(state, id, group), effects: [] };
  }
  if (!group.isLoaded) {
    const call = { kind: "list", prefix: `claims/${id}/` } as const;
    return sendGroupCall(state, id, { group, call, nowMs });
  }
  const decided = answerKnownClaims(setGroup(state, id, group), id);
  return chainStep(decided, (current) => writePending(current, id, nowMs));
}

/**
 * Answers pending claims whose outcome the loaded records already determine,
 * and discards releases of claims that the token does not hold.
 */
function answerKnownClaims(state: InstanceState, id: string): Step {
  const group = state.claims.groups[id];
  const pending = group?.pending ?? [];
  if (group === undefined) {
    return { state, effects: [] };
  }
  const getHolder = ({ claimKey }: PendingClaim): string =>
    getSharded(group.holders, claimKey) ?? "";
  const settled = pending.filter((claim) =>
    claim.isRelease
      ? getHolder(claim) !== claim.token
      : getHolder(claim) !== "",
  );
  const undecided = pending.filter((claim) => !settled.includes(claim));
  const requests = settled.filter(({ isRelease }) => !isRelease);
  const remaining = setGroup(state, id, { ...group, pending: undecided });
  return chainAll(remaining, requests, (current, claim) => {
    const isOwn = getHolder(claim) === claim.token;
    return answerClaim(current, claim, isOwn ? "granted" : "taken");
  });
}

/** Writes the first pending claim of each key, all in one record update. */
function writePending(state: InstanceState, id: string, nowMs: number): Step {
  const group = state.claims.groups[id];
  if (group === undefined || group.pending.length === 0) {
    return { state, effects: [] };
  }
  if (group.leaseId === undefined) {
    const ttlMs = CLAIMS.RETENTION_MS;
    const call = { kind: "grant-lease", ttlMs } as const;
    return sendGroupCall(state, id, { group, call, nowMs });
  }
  const writing = listFirstPerKey(group.pending);
  const pending = group.pending.filter((claim) => !writing.includes(claim));
  const nextFlushMs = nowMs + CLAIMS.FLUSH_INTERVAL_MS;
  const flushed = { ...group, writing, pending, nextFlushMs };
  const call = buildWrite(id, flushed, group.leaseId);
  return sendGroupCall(state, id, { group: flushed, call, nowMs });
}

function listFirstPerKey(
  pending: readonly PendingClaim[],
): readonly PendingClaim[] {
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
  const merged = { ...claims, ...Object.fromEntries(added) };
  const isClosed = Object.keys(merged).length >= CLAIMS.MAX_CLAIMS_PER_RECORD;
  const record: ClaimRecord = { isClosed, claims: merged };
  const digits = String(number).padStart(CLAIMS.RECORD_NUMBER_DIGITS, "0");
  return {
    kind: "cas",
    key: `claims/${id}/${digits}`,
    value: JSON.stringify(record),
    expect: version,
    leaseId,
  };
}

function sendGroupCall(
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
  const waiting = setGroup(state, id, { ...group, isCallPending: true });
  const purpose = { feature: "claims", operation: call.kind, id } as const;
  return requestPlatformCall(waiting, call, { purpose, nowMs });
}
