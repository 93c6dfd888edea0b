import type { DataCentreId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { canRunItems } from "../jobs/can_run_items.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Upstream } from "../upstreams/types.ts";
import { buildSlotUse } from "./build_slot_use.ts";
import { chooseOwnerLink } from "./choose_owner_link.ts";
import { handleSlotReport } from "./handle_slot_report.ts";
import { isOnlyInstance } from "./is_only_instance.ts";
import { SLOT_TIMES } from "./slot_times.ts";
import type { OwnerLink, SlotReport } from "./types.ts";

/** Reports the use of upstreams to their slot owners when due. */
export function reportSlots(state: InstanceState, nowMs: number): Step {
  const { slots } = state;
  const intervalMs = slots.isReportDue
    ? SLOT_TIMES.URGENT_REPORT_MS
    : SLOT_TIMES.REPORT_INTERVAL_MS;
  if (
    slots.lastReportMs !== undefined &&
    nowMs < slots.lastReportMs + intervalMs
  ) {
    return { state, effects: [] };
  }
  // The vote before a restart is unknown, so wait until it must have expired.
  const voteLockedUntilMs =
    slots.lastReportMs === undefined && !isOnlyInstance(state)
      ? nowMs + SLOT_TIMES.VOTE_MS + SLOT_TIMES.CLOCK_DRIFT_MS
      : slots.voteLockedUntilMs;
  const started: InstanceState = {
    ...state,
    slots: {
      ...slots,
      lastReportMs: nowMs,
      isReportDue: false,
      voteLockedUntilMs,
    },
  };
  const used = Object.values(state.upstreams).filter((upstream) =>
    isUsed(state, upstream),
  );
  const dataCentres = new Set([
    state.self.dataCentre,
    ...used.map(({ dataCentre }) => dataCentre),
  ]);
  return chainAll(started, [...dataCentres], (current, dataCentre) =>
    reportToOwner(current, { dataCentre, used, nowMs }),
  );
}

function isUsed(state: InstanceState, upstream: Upstream): boolean {
  return (
    upstream.dataCentre === state.self.dataCentre ||
    upstream.inFlight > 0 ||
    upstream.isAckDue ||
    upstream.allowance > 0 ||
    state.queues.services[upstream.service] !== undefined ||
    canRunItems(state, upstream)
  );
}

function reportToOwner(
  state: InstanceState,
  {
    dataCentre,
    used,
    nowMs,
  }: {
    readonly dataCentre: DataCentreId;
    readonly used: readonly Upstream[];
    readonly nowMs: number;
  },
): Step {
  const link = chooseOwnerLink(state, dataCentre, nowMs);
  if (link === undefined) {
    return { state, effects: [] };
  }
  const linked = recordLink(markAcksSent(state, dataCentre), {
    dataCentre,
    link,
    nowMs,
  });
  const report: SlotReport = {
    kind: "slot-report",
    incarnation: state.self.incarnation,
    dataCentre: state.self.dataCentre,
    sentMs: nowMs,
    echoMs: link.echoMs,
    uses: used
      .filter((upstream) => upstream.dataCentre === dataCentre)
      .map((upstream) =>
        buildSlotUse(state, upstream, { nowMs, term: link.term }),
      ),
  };
  return link.ownerId === state.self.instanceId
    ? handleSlotReport(linked, link.ownerId, { report, nowMs })
    : {
        state: linked,
        effects: [{ kind: "send-peer", to: link.ownerId, message: report }],
      };
}

function markAcksSent(
  state: InstanceState,
  dataCentre: DataCentreId,
): InstanceState {
  const acknowledged = Object.values(state.upstreams)
    .filter((upstream) => upstream.dataCentre === dataCentre)
    .filter(({ isAckDue }) => isAckDue)
    .map((upstream) => [upstream.upstreamId, { ...upstream, isAckDue: false }]);
  return acknowledged.length === 0
    ? state
    : {
        ...state,
        upstreams: { ...state.upstreams, ...Object.fromEntries(acknowledged) },
      };
}

function recordLink(
  state: InstanceState,
  {
    dataCentre,
    link,
    nowMs,
  }: {
    readonly dataCentre: DataCentreId;
    readonly link: OwnerLink;
    readonly nowMs: number;
  },
): InstanceState {
  const isVote = dataCentre === state.self.dataCentre;
  const voteLockedUntilMs = isVote
    ? nowMs + SLOT_TIMES.VOTE_MS + SLOT_TIMES.CLOCK_DRIFT_MS
    : state.slots.voteLockedUntilMs;
  const links = setEntry(state.slots.links, dataCentre, link);
  return {
    ...state,
    slots: { ...state.slots, links, voteLockedUntilMs },
  };
}
