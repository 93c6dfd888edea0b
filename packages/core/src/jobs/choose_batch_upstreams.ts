import type { InstanceState } from "../instance/types.ts";
import { computeArrivalRate } from "../queue/compute_arrival_rate.ts";
import {
  type AvailableUpstream,
  listAvailableUpstreams,
} from "../upstreams/list_available_upstreams.ts";
import type { Upstream } from "../upstreams/types.ts";
import { hasServingUpstream } from "./has_serving_upstream.ts";

const MS_PER_SECOND = 1_000;
/**
 * Slots are reserved for the online requests expected within this time, so
 * that they start without cancelling batch items.
 */
const ONLINE_RESERVE_MS = 100;
/**
 * Below this rate of online requests, non-idempotent items may use any slot.
 */
const MIN_ONLINE_RATE_PER_S = 0.01;
/** Fraction of an upstream's slots that non-idempotent items may occupy. */
const MAX_NON_IDEMPOTENT_FRACTION = 1 / 4;

/** Upstreams that can take one more batch item. */
export type BatchUpstreams = {
  readonly forIdempotent: Upstream | undefined;
  /** Non-idempotent items cannot be cancelled to free their slot. */
  readonly forNonIdempotent: Upstream | undefined;
};

/**
 * Chooses the least loaded upstreams for a batch item, provided that more slots
 * are free than are reserved for online requests. Upstreams of other data
 * centres are used only while the own one has none in service.
 */
export function chooseBatchUpstreams(
  state: InstanceState,
  service: string,
  nowMs: number,
): BatchUpstreams {
  const isServedLocally = hasServingUpstream(state, service);
  const open = listAvailableUpstreams(state, service, nowMs).filter(
    ({ upstream }) =>
      !isServedLocally || upstream.dataCentre === state.self.dataCentre,
  );
  const freeSlots = open.reduce(
    (sum, { upstream, slots }) => sum + Math.max(0, slots - upstream.inFlight),
    0,
  );
  const rate = computeArrivalRate(state.arrivals[service], nowMs);
  const reservedSlots = Math.floor((rate * ONLINE_RESERVE_MS) / MS_PER_SECOND);
  const hasOnlineWork = open.some(
    ({ upstream }) => upstream.inFlight > upstream.batchInFlight,
  );
  if (
    freeSlots <= reservedSlots ||
    (state.policy.isBatchExclusive && hasOnlineWork)
  ) {
    return { forIdempotent: undefined, forNonIdempotent: undefined };
  }
  const usable = open
    .filter(({ upstream, slots }) => upstream.inFlight < slots)
    .sort((a, b) => measureLoad(a) - measureLoad(b));
  return {
    forIdempotent: usable[0]?.upstream,
    forNonIdempotent:
      rate < MIN_ONLINE_RATE_PER_S
        ? usable[0]?.upstream
        : usable.find(canTakeNonIdempotent)?.upstream,
  };
}

function canTakeNonIdempotent({ upstream, slots }: AvailableUpstream): boolean {
  const nonIdempotentCount = upstream.batchInFlight - upstream.batchRuns.length;
  return (
    slots > 1 &&
    nonIdempotentCount <
      Math.max(1, Math.floor(slots * MAX_NON_IDEMPOTENT_FRACTION))
  );
}

function measureLoad({ upstream, slots }: AvailableUpstream): number {
  return upstream.inFlight / slots;
}
