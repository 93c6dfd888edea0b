import type { ServiceName } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { startItems } from "../jobs/start_items.ts";
import { addCharge } from "../queue/add_charge.ts";
import { dropQueued } from "../queue/drop_queued.ts";
import { findNextWork } from "../queue/find_next_work.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import { reportSlots } from "../slots/report_slots.ts";
import { SLOT_TIMES } from "../slots/slot_times.ts";
import { chooseUpstream } from "../upstreams/choose_upstream.ts";
import {
  type AvailableUpstream,
  listAvailableUpstreams,
} from "../upstreams/list_available_upstreams.ts";
import type { Upstream } from "../upstreams/types.ts";
import { canMeetDeadline } from "./can_meet_deadline.ts";
import { cancelWork } from "./cancel_work.ts";
import { findPreemptionVictim } from "./find_preemption_victim.ts";
import { requeueBatch } from "./requeue_batch.ts";
import { startAttempt } from "./start_attempt.ts";
import type { Work } from "./types.ts";

/**
 * Starts queued online work, then batch items, wherever a slot is free, and
 * reports slot demand to the slot owners.
 */
export function dispatchWork(state: InstanceState, nowMs: number): Step {
  const services = Object.keys(state.queues.services) as ServiceName[];
  const online = chainAll(state, services, (current, service) =>
    startQueued({ state: current, effects: [] }, service, nowMs),
  );
  const batch = chainStep(online, (current) => startItems(current, nowMs));
  return chainStep(batch, (current) =>
    reportSlots(markReportDue(current, nowMs), nowMs),
  );
}

function startQueued(step: Step, service: ServiceName, nowMs: number): Step {
  const { state } = step;
  const workId = findNextWork(state, service);
  const work =
    workId === undefined ? undefined : getSharded(state.works, workId);
  if (work === undefined) {
    return step;
  }
  if (!canMeetDeadline(state, work, nowMs)) {
    const ended = chainStep(step, (current) =>
      cancelWork(current, work.order.workId, "deadline_exceeded"),
    );
    return startQueued(ended, service, nowMs);
  }
  const available = listAvailableUpstreams(state, service, nowMs);
  const { upstream, seed } = chooseUpstream(state, available, work.order);
  if (upstream !== undefined) {
    const started = chainStep(step, (current) =>
      startOnline({ ...current, seed }, work, { upstream, nowMs }),
    );
    return startQueued(started, service, nowMs);
  }
  const victim = findPreemptionVictim(state, available);
  if (victim === undefined) {
    checkOnlineNotBlocked(state, work, available);
    return step;
  }
  const preempted = chainStep(step, (current) =>
    requeueBatch(current, victim.upstreamId, { count: 1, nowMs }),
  );
  return startQueued(preempted, service, nowMs);
}

function startOnline(
  state: InstanceState,
  work: Work,
  { upstream, nowMs }: { readonly upstream: Upstream; readonly nowMs: number },
): Step {
  const { customer, costTokens, service } = work.order;
  const charged = addCharge(dropQueued(state, work), {
    queue: service,
    customer,
    costTokens,
  });
  return startAttempt(charged, work, { upstream, nowMs });
}

function checkOnlineNotBlocked(
  { policy }: InstanceState,
  { order }: Work,
  available: readonly AvailableUpstream[],
): void {
  const usable = available.find(
    ({ upstream: { inFlight, batchRuns }, slots }) =>
      inFlight < slots || batchRuns.length > 0,
  );
  checkInvariant(
    "online-never-waits-behind-batch",
    usable === undefined || !policy.canYield,
    () => `${order.workId} waits at ${usable?.upstream.upstreamId}`,
  );
}

/**
 * Marks a slot report as due while online work is queued, at most once per
 * `SLOT_TIMES.WAITING_REPORT_MS`.
 */
function markReportDue(state: InstanceState, nowMs: number): InstanceState {
  const { lastReportMs = nowMs } = state.slots;
  const isWaiting = Object.keys(state.queues.services).length > 0;
  return isWaiting && nowMs - lastReportMs >= SLOT_TIMES.WAITING_REPORT_MS
    ? { ...state, slots: { ...state.slots, isReportDue: true } }
    : state;
}
