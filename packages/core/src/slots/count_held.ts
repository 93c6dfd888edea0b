import type { InstanceState } from "../instance/types.ts";
import type { Upstream } from "../upstreams/types.ts";
import { SLOT_TIMES } from "./constants.ts";
import { countAllowance } from "./count_allowance.ts";
import { listDataCentreInstances } from "./list_data_centre_instances.ts";
import { measureLongestRun } from "./measure_longest_run.ts";
import type { SlotHolder, SlotLedger } from "./types.ts";

/** Slots of one upstream that are held, by whom the owner hears. */
export type HeldSlots = {
  readonly live: number;
  readonly silent: number;
  /** Bound on the allowance while unheard instances may hold slots. */
  readonly cap: number;
};

/** Counts the slots that may be in use at one upstream. */
export function countHeld(
  state: InstanceState,
  ledger: SlotLedger,
  { upstream, nowMs }: { readonly upstream: Upstream; readonly nowMs: number },
): HeldSlots {
  const holders = Object.values(ledger.holders);
  const isLive = ({ heardMs }: SlotHolder): boolean =>
    nowMs - heardMs < SLOT_TIMES.GRANT_MS;
  const live = countBounds(holders.filter(isLive));
  const isRamping =
    countAllowance(ledger, upstream, { nowMs, policy: state.policy }) <
    upstream.maxConcurrency;
  const roster = listDataCentreInstances(state, upstream.dataCentre);
  const heard = new Set(
    holders.filter(isLive).map(({ instanceId }) => instanceId),
  );
  const unheard = roster.filter((id) => !heard.has(id));
  if (!isRamping) {
    const base = Math.floor(upstream.maxConcurrency / roster.length);
    return {
      live,
      silent: unheard.length * base,
      cap: Number.POSITIVE_INFINITY,
    };
  }
  const runMs = SLOT_TIMES.GRANT_MS + measureLongestRun(state);
  const isRunning = ({ heardMs, instanceId }: SlotHolder): boolean =>
    nowMs - heardMs < runMs && !heard.has(instanceId);
  const silent = countBounds(holders.filter(isRunning));
  const known = new Set(holders.map(({ instanceId }) => instanceId));
  const isUncertain =
    nowMs - (state.slots.ownerSinceMs ?? nowMs) < runMs &&
    unheard.some((id) => !known.has(id));
  return {
    live,
    silent,
    cap: isUncertain ? live + silent : Number.POSITIVE_INFINITY,
  };
}

function countBounds(holders: readonly SlotHolder[]): number {
  return holders.reduce(
    (total, { peak, use }) => total + Math.max(peak, use.inFlight),
    0,
  );
}
