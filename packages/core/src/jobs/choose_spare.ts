import type { InstanceState } from "../instance/types.ts";
import { measureArrivals } from "../queue/measure_arrivals.ts";
import { listOpen, type OpenUpstream } from "../upstreams/list_open.ts";
import type { Upstream } from "../upstreams/types.ts";
import { hasServingUpstream } from "./has_serving_upstream.ts";

const MS_PER_SECOND = 1_000;
/** Online arrivals of this time find a free slot without a cancellation. */
const RESERVE_MS = 100;
/** Below this many online requests a second, any slot may be held. */
const QUIET_RATE = 0.01;
/** Part of the slots that work which can't be cancelled may hold. */
const FIXED_PART = 1 / 4;

/** Upstreams that may take one more batch item. */
export type SpareUpstreams = {
  readonly any: Upstream | undefined;
  /** For an item that must not be cancelled. */
  readonly forFixed: Upstream | undefined;
};

/**
 * Chooses upstreams for a batch item: the least loaded ones of the own data
 * centre, or of others while the own one has none in service, as long as more
 * slots are free than the online reserve.
 */
export function chooseSpare(
  state: InstanceState,
  service: string,
  nowMs: number,
): SpareUpstreams {
  const isHomeServing = hasServingUpstream(state, service);
  const open = listOpen(state, service, nowMs).filter(
    ({ upstream }) =>
      !isHomeServing || upstream.dataCentre === state.self.dataCentre,
  );
  const free = open.reduce(
    (sum, { upstream, slots }) => sum + Math.max(0, slots - upstream.inFlight),
    0,
  );
  const rate = measureArrivals(state.arrivals[service], nowMs);
  const reserve = Math.floor((rate * RESERVE_MS) / MS_PER_SECOND);
  const hasOnline = open.some(
    ({ upstream }) => upstream.inFlight > upstream.batchInFlight,
  );
  if (free <= reserve || (state.policy.isBatchExclusive && hasOnline)) {
    return { any: undefined, forFixed: undefined };
  }
  const usable = open
    .filter(({ upstream, slots }) => upstream.inFlight < slots)
    .sort((a, b) => measureLoad(a) - measureLoad(b));
  return {
    any: usable[0]?.upstream,
    forFixed:
      rate < QUIET_RATE
        ? usable[0]?.upstream
        : usable.find(canHoldFixed)?.upstream,
  };
}

function canHoldFixed({ upstream, slots }: OpenUpstream): boolean {
  const fixed = upstream.batchInFlight - upstream.batchRuns.length;
  return slots > 1 && fixed < Math.max(1, Math.floor(slots * FIXED_PART));
}

function measureLoad({ upstream, slots }: OpenUpstream): number {
  return upstream.inFlight / slots;
}
