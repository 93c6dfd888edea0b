import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type {
  PendingCall,
  PlatformAnswer,
  PlatformRecord,
} from "../platform/types.ts";
import { createSharded } from "../sharded/create_sharded.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { advanceClaimGroup } from "./advance_claim_group.ts";
import { answerClaim } from "./answer_claim.ts";
import { CLAIMS } from "./constants.ts";
import { setGroup } from "./set_group.ts";
import type {
  ClaimGroup,
  ClaimRecord,
  ClaimVerdict,
  PendingClaim,
} from "./types.ts";

/** Handles the platform's answer to a group's read, lease grant or write. */
export function handleClaimsAnswer(
  state: InstanceState,
  {
    pendingCall,
    answer,
  }: { readonly pendingCall: PendingCall; readonly answer: PlatformAnswer },
  nowMs: number,
): Step {
  const { id } = pendingCall.purpose;
  const group = state.claims.groups[id];
  if (group === undefined) {
    return { state, effects: [] };
  }
  const idle = { ...group, isCallPending: false, writing: [] };
  const requeued = [...group.writing, ...group.pending];
  const step = (next: ClaimGroup): Step => ({
    state: setGroup(state, id, next),
    effects: [],
  });
  switch (answer.kind) {
    case "listed":
      return chainStep(step(loadGroup(idle, answer.records)), (current) =>
        advanceClaimGroup(current, id, nowMs),
      );
    case "granted":
      return chainStep(step({ ...idle, leaseId: answer.leaseId }), (current) =>
        advanceClaimGroup(current, id, nowMs),
      );
    case "written": {
      const { writing } = group;
      const { version } = answer;
      const recorded = step(
        recordWrite(idle, { pendingCall, version, writing }),
      );
      return chainStep(recorded, (current) =>
        answerAll(current, writing, "granted"),
      );
    }
    case "conflict":
      return chainStep(
        step({
          ...idle,
          pending: requeued,
          isLoaded: false,
          leaseId: undefined,
        }),
        (current) => advanceClaimGroup(current, id, nowMs),
      );
    default: {
      // The write may or may not have taken effect: reload the group, then
      // write only the claims that are missing.
      const nextFlushMs = nowMs + CLAIMS.FLUSH_INTERVAL_MS;
      return step({ ...idle, pending: requeued, isLoaded: false, nextFlushMs });
    }
  }
}

function answerAll(
  state: InstanceState,
  claims: readonly PendingClaim[],
  verdict: ClaimVerdict,
): Step {
  const requests = claims.filter(({ isRelease }) => !isRelease);
  return chainAll(state, requests, (current, claim) =>
    answerClaim(current, claim, verdict),
  );
}

/**
 * Loads all records of a group. New claims are added to the last record, or to
 * a new one if the last is closed.
 */
function loadGroup(
  group: ClaimGroup,
  records: readonly PlatformRecord[],
): ClaimGroup {
  const sorted = records
    .toSorted((a, b) => (a.key < b.key ? -1 : 1))
    .map(({ key, value, version }) => ({
      number: Number(key.slice(key.lastIndexOf("/") + 1)),
      version,
      record: JSON.parse(value) as ClaimRecord,
    }));
  const holders = sorted
    .flatMap(({ record }) => Object.entries(record.claims))
    .reduce(
      (table, [claimKey, token]) => setSharded(table, claimKey, token),
      createSharded<string>(),
    );
  const last = sorted.at(-1);
  const isAppendable = last !== undefined && !last.record.isClosed;
  return {
    ...group,
    holders,
    isLoaded: true,
    number: isAppendable ? last.number : (last?.number ?? -1) + 1,
    version: isAppendable ? last.version : 0,
    claims: isAppendable ? last.record.claims : {},
  };
}

function recordWrite(
  group: ClaimGroup,
  {
    pendingCall,
    version,
    writing,
  }: {
    readonly pendingCall: PendingCall;
    readonly version: number;
    readonly writing: readonly PendingClaim[];
  },
): ClaimGroup {
  const value = pendingCall.call.kind === "cas" ? pendingCall.call.value : "{}";
  const record = JSON.parse(value) as ClaimRecord;
  const holders = writing.reduce(
    (table, { claimKey, token, isRelease }) =>
      setSharded(table, claimKey, isRelease ? "" : token),
    group.holders,
  );
  return record.isClosed
    ? {
        ...group,
        holders,
        number: group.number + 1,
        version: 0,
        claims: {},
        leaseId: undefined,
      }
    : { ...group, holders, version, claims: record.claims };
}
