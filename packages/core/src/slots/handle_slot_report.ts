import type { InstanceId } from "../ids/types.ts";
import type { Effect, InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { adoptGrants } from "./adopt_grants.ts";
import { buildOwnerTerm } from "./build_owner_term.ts";
import { grantSlots } from "./grant_slots.ts";
import { isOnlyInstance } from "./is_only_instance.ts";
import { isSlotOwner } from "./is_slot_owner.ts";
import { SLOT_TIMES } from "./slot_times.ts";
import type { HolderGrant, SlotGrants, SlotReport } from "./types.ts";
import { updateLedger } from "./update_ledger.ts";

/** Handles a slot report as the slot owner and answers it with grants. */
export function handleSlotReport(
  state: InstanceState,
  from: InstanceId,
  { report, nowMs }: { readonly report: SlotReport; readonly nowMs: number },
): Step {
  const voted = recordVote(state, from, report);
  if (!isSlotOwner(voted, nowMs)) {
    const ended = endTerm(voted);
    const isCandidate =
      ended.slots.links[state.self.dataCentre]?.ownerId ===
      state.self.instanceId;
    return isCandidate && from !== state.self.instanceId
      ? sendGrants(ended, { report, to: from, granted: [], nowMs })
      : { state: ended, effects: [] };
  }
  const owner = startTerm(voted, nowMs);
  const updated = report.uses.reduce(
    (current, use) => updateLedger(current, { from, report, use, nowMs }),
    owner,
  );
  return answerReport(updated, from, { report, nowMs });
}

function answerReport(
  state: InstanceState,
  from: InstanceId,
  { report, nowMs }: { readonly report: SlotReport; readonly nowMs: number },
): Step {
  const initial: { state: InstanceState; grants: readonly HolderGrant[] } = {
    state,
    grants: [],
  };
  const allocated = report.uses.reduce((current, { upstreamId }) => {
    const next = grantSlots(current.state, upstreamId, nowMs);
    return { state: next.state, grants: [...current.grants, ...next.grants] };
  }, initial);
  const isGrantFor = (to: InstanceId) => (grant: HolderGrant) =>
    grant.to === to;
  const changed = allocated.grants.filter(
    (grant) => grant.isChanged || grant.to === from,
  );
  const receivers = [...new Set([from, ...changed.map(({ to }) => to)])];
  return receivers.reduce<Step>(
    (step, to) => {
      const granted = changed.filter(isGrantFor(to));
      const sent = sendGrants(step.state, { report, to, granted, nowMs });
      return { state: sent.state, effects: [...step.effects, ...sent.effects] };
    },
    { state: allocated.state, effects: [] },
  );
}

function sendGrants(
  state: InstanceState,
  {
    report,
    to,
    granted,
    nowMs,
  }: {
    readonly report: SlotReport;
    readonly to: InstanceId;
    readonly granted: readonly HolderGrant[];
    readonly nowMs: number;
  },
): Step {
  const message: SlotGrants = {
    kind: "slot-grants",
    reportMs: granted[0]?.reportMs ?? report.sentMs,
    sentMs: nowMs,
    term: buildOwnerTerm(state),
    grants: granted.map(({ grant }) => grant),
  };
  if (to === state.self.instanceId) {
    return adoptGrants(state, to, { message, nowMs });
  }
  const effect: Effect = { kind: "send-peer", to, message };
  return { state, effects: [effect] };
}

function recordVote(
  state: InstanceState,
  from: InstanceId,
  report: SlotReport,
): InstanceState {
  if (report.dataCentre !== state.self.dataCentre || report.echoMs === 0) {
    return state;
  }
  const before = state.slots.votes[from] ?? 0;
  const votes = setEntry(
    state.slots.votes,
    from,
    Math.max(before, report.echoMs),
  );
  return { ...state, slots: { ...state.slots, votes } };
}

function startTerm(state: InstanceState, nowMs: number): InstanceState {
  if (state.slots.ownerSinceMs !== undefined) {
    return state;
  }
  // Without other instances there are no earlier grants that must expire.
  const ownerSinceMs = isOnlyInstance(state)
    ? nowMs - SLOT_TIMES.SETTLE_MS
    : nowMs;
  return { ...state, slots: { ...state.slots, ownerSinceMs, ledgers: {} } };
}

function endTerm(state: InstanceState): InstanceState {
  return state.slots.ownerSinceMs === undefined
    ? state
    : {
        ...state,
        slots: { ...state.slots, ownerSinceMs: undefined, ledgers: {} },
      };
}
