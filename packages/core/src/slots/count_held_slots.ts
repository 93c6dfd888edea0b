import type { InstanceState } from "../instance/types.ts";
import type { Upstream } from "../upstreams/types.ts";
import { countAllowance } from "./count_allowance.ts";
import { isSuperseded } from "./is_superseded.ts";
import { listDataCentreInstances } from "./list_data_centre_instances.ts";
import { measureLongestRun } from "./measure_longest_run.ts";
import { SLOT_TIMES } from "./slot_times.ts";
import type { SlotHolder, SlotLedger } from "./types.ts";

/** Slots of one upstream that may be in use, by live and silent holders. */
export type HeldSlots = {
  readonly live: number;
  readonly silent: number;
  /** Upper bound of the allowance while unknown instances may hold slots. */
  readonly allowanceCap: number;
};

/** Counts the slots that may be in use at one upstream. */
export function countHeldSlots(
  state: InstanceState,
  ledger: SlotLedger,
  { upstream, nowMs }: { readonly upstream: Upstream; readonly nowMs: number },
): HeldSlots {
  const holders = Object.values(ledger.holders);
  const isReporting = ({ lastSeenMs }: SlotHolder): boolean =>
    nowMs - lastSeenMs < SLOT_TIMES.GRANT_MS;
  const live = countPossibleSlots(holders.filter(isReporting));
  const isRamping =
    countAllowance(ledger, upstream, { nowMs, policy: state.policy }) <
    upstream.maxConcurrency;
  const instanceIds = listDataCentreInstances(state, upstream.dataCentre);
  const reporting = new Set(
    holders.filter(isReporting).map(({ instanceId }) => instanceId),
  );
  const notReporting = instanceIds.filter((id) => !reporting.has(id));
  if (!isRamping) {
    const base = Math.floor(upstream.maxConcurrency / instanceIds.length);
    return {
      live,
      silent: notReporting.length * base,
      allowanceCap: Number.POSITIVE_INFINITY,
    };
  }
  const maxUseMs = SLOT_TIMES.GRANT_MS + measureLongestRun(state);
  const mayHaveRuns = (holder: SlotHolder): boolean =>
    nowMs - holder.lastSeenMs < maxUseMs &&
    !reporting.has(holder.instanceId) &&
    !isSuperseded(holder, holders);
  const silent = countPossibleSlots(holders.filter(mayHaveRuns));
  const knownIds = new Set(holders.map(({ instanceId }) => instanceId));
  const isUncertain =
    nowMs - (state.slots.ownerSinceMs ?? nowMs) < maxUseMs &&
    notReporting.some((id) => !knownIds.has(id));
  return {
    live,
    silent,
    allowanceCap: isUncertain ? live + silent : Number.POSITIVE_INFINITY,
  };
}

function countPossibleSlots(holders: readonly SlotHolder[]): number {
  return holders.reduce(
    (total, { maxSlots, use }) => total + Math.max(maxSlots, use.inFlight),
    0,
  );
}
