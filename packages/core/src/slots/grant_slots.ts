import type { UpstreamId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Table } from "../shared/types.ts";
import type { Upstream } from "../upstreams/types.ts";
import { countAllowance } from "./count_allowance.ts";
import { countHeldSlots, type HeldSlots } from "./count_held_slots.ts";
import { countRamp } from "./count_ramp.ts";
import { fillSlots } from "./fill_slots.ts";
import { measureLongestRun } from "./measure_longest_run.ts";
import { SLOT_TIMES } from "./slot_times.ts";
import type { HolderGrant, SlotHolder, SlotLedger } from "./types.ts";

/** The state after an allocation, and the current grants. */
export type Allocation = {
  readonly state: InstanceState;
  readonly grants: readonly HolderGrant[];
};

/**
 * Reallocates the slots of one upstream. A reduced grant counts at its previous
 * size until its holder reports its adoption, so that no slot is granted twice
 * even if messages are lost.
 */
export function grantSlots(
  state: InstanceState,
  upstreamId: UpstreamId,
  nowMs: number,
): Allocation {
  const upstream = state.upstreams[upstreamId];
  const ledger = state.slots.ledgers[upstreamId];
  if (upstream === undefined || ledger === undefined) {
    return { state, grants: [] };
  }
  const holders = Object.entries(ledger.holders)
    .filter(([, { lastSeenMs }]) => nowMs - lastSeenMs < SLOT_TIMES.GRANT_MS)
    .sort(([, a], [, b]) => a.slots - b.slots);
  const held = countHeldSlots(state, ledger, { upstream, nowMs });
  const isSettling =
    nowMs - (state.slots.ownerSinceMs ?? nowMs) < SLOT_TIMES.SETTLE_MS;
  const allowance = isSettling
    ? held.live
    : Math.min(
        countAllowance(ledger, upstream, { nowMs, policy: state.policy }),
        held.allowanceCap,
      );
  const targets = isSettling
    ? holders.map(([, { slots, use }]) => Math.max(slots, use.inFlight))
    : fillSlots(
        holders.map(([, holder]) => holder),
        {
          total: allowance - held.silent,
          ownDataCentre: state.self.dataCentre,
        },
      );
  const initial: AllocationProgress = {
    holders: dropExpiredHolders(state, ledger, nowMs),
    grantCount: state.slots.grantCount,
    free: Math.max(0, allowance - held.live - held.silent),
    taken: 0,
    grants: [],
  };
  const allocated = holders.reduce(
    (progress, [key, holder], position) =>
      grantHolder(progress, {
        key,
        holder,
        target: targets[position] ?? 0,
        upstream,
        rampSlots: countRamp(ledger, upstream),
      }),
    initial,
  );
  checkGrantedSum(allocated, { upstreamId, allowance, held });
  const ledgers = setEntry(state.slots.ledgers, upstreamId, {
    ...ledger,
    holders: allocated.holders,
  });
  const { grantCount } = allocated;
  return {
    state: { ...state, slots: { ...state.slots, ledgers, grantCount } },
    grants: allocated.grants,
  };
}

/** Drops holders whose attempts must have ended by now. */
function dropExpiredHolders(
  state: InstanceState,
  { holders }: SlotLedger,
  nowMs: number,
): Table<SlotHolder> {
  const retentionMs = SLOT_TIMES.GRANT_MS + measureLongestRun(state);
  const isExpired = ({ lastSeenMs }: SlotHolder): boolean =>
    nowMs - lastSeenMs >= retentionMs;
  return Object.values(holders).some(isExpired)
    ? Object.fromEntries(
        Object.entries(holders).filter(([, holder]) => !isExpired(holder)),
      )
    : holders;
}

type AllocationProgress = {
  readonly holders: Table<SlotHolder>;
  readonly grantCount: number;
  readonly free: number;
  /** Slots granted in addition to those already held. */
  readonly taken: number;
  readonly grants: readonly HolderGrant[];
};

function grantHolder(
  progress: AllocationProgress,
  {
    key,
    holder,
    target,
    upstream,
    rampSlots,
  }: {
    readonly key: string;
    readonly holder: SlotHolder;
    readonly target: number;
    readonly upstream: Upstream;
    readonly rampSlots: number;
  },
): AllocationProgress {
  const bound = Math.max(holder.maxSlots, holder.use.inFlight);
  const slots = Math.min(target, bound + progress.free);
  const added = Math.max(0, slots - bound);
  const isChanged = slots !== holder.slots || holder.number === 0;
  const grantCount = isChanged ? progress.grantCount + 1 : progress.grantCount;
  const granted: SlotHolder = {
    ...holder,
    slots,
    maxSlots: Math.max(holder.maxSlots, slots),
    number: isChanged ? grantCount : holder.number,
  };
  const grant = {
    upstreamId: upstream.upstreamId,
    number: granted.number,
    slots,
    allowance: rampSlots,
  };
  return {
    holders: setEntry(progress.holders, key, granted),
    grantCount,
    free: progress.free - added,
    taken: progress.taken + added,
    grants: [
      ...progress.grants,
      { to: holder.instanceId, reportMs: holder.reportMs, isChanged, grant },
    ],
  };
}

function checkGrantedSum(
  allocated: AllocationProgress,
  {
    upstreamId,
    allowance,
    held,
  }: {
    readonly upstreamId: UpstreamId;
    readonly allowance: number;
    readonly held: HeldSlots;
  },
): void {
  const granted = held.silent + held.live + allocated.taken;
  checkInvariant(
    "ramp-is-kept",
    granted <= Math.max(allowance, held.silent + held.live),
    () => `${upstreamId}: ${granted} granted, ${allowance} allowed`,
  );
}
