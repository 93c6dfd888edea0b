import type { UpstreamId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Table } from "../shared/types.ts";
import type { Upstream } from "../upstreams/types.ts";
import { SLOT_TIMES } from "./constants.ts";
import { countAllowance } from "./count_allowance.ts";
import { countHeld, type HeldSlots } from "./count_held.ts";
import { countRamp } from "./count_ramp.ts";
import { fillSlots } from "./fill_slots.ts";
import { measureLongestRun } from "./measure_longest_run.ts";
import type { HolderGrant, SlotHolder, SlotLedger } from "./types.ts";

/** The state after an allotment, and the grants that stand. */
export type Allotment = {
  readonly state: InstanceState;
  readonly grants: readonly HolderGrant[];
};

/**
 * Allots the slots of one upstream anew. A smaller grant counts at its old
 * size until its holder reports that it was adopted, so that no slot is
 * granted twice, whichever messages are lost.
 */
export function grantSlots(
  state: InstanceState,
  upstreamId: UpstreamId,
  nowMs: number,
): Allotment {
  const upstream = state.upstreams[upstreamId];
  const ledger = state.slots.ledgers[upstreamId];
  if (upstream === undefined || ledger === undefined) {
    return { state, grants: [] };
  }
  const holders = Object.entries(ledger.holders)
    .filter(([, { heardMs }]) => nowMs - heardMs < SLOT_TIMES.GRANT_MS)
    .sort(([, a], [, b]) => a.slots - b.slots);
  const held = countHeld(state, ledger, { upstream, nowMs });
  const isSettling =
    nowMs - (state.slots.ownerSinceMs ?? nowMs) < SLOT_TIMES.SETTLE_MS;
  const allowance = isSettling
    ? held.live
    : Math.min(
        countAllowance(ledger, upstream, { nowMs, policy: state.policy }),
        held.cap,
      );
  const wanted = isSettling
    ? holders.map(([, { slots, use }]) => Math.max(slots, use.inFlight))
    : fillSlots(
        holders.map(([, holder]) => holder),
        { total: allowance - held.silent, home: state.self.dataCentre },
      );
  const start: Grown = {
    table: dropOld(state, ledger, nowMs),
    grantCount: state.slots.grantCount,
    free: Math.max(0, allowance - held.live - held.silent),
    taken: 0,
    grants: [],
  };
  const grown = holders.reduce(
    (at, [key, holder], place) =>
      grantHolder(at, {
        key,
        holder,
        target: wanted[place] ?? 0,
        upstream,
        known: countRamp(ledger, upstream),
      }),
    start,
  );
  checkSum(grown, { upstreamId, allowance, held });
  const ledgers = setEntry(state.slots.ledgers, upstreamId, {
    ...ledger,
    holders: grown.table,
  });
  const { grantCount } = grown;
  return {
    state: { ...state, slots: { ...state.slots, ledgers, grantCount } },
    grants: grown.grants,
  };
}

/** Drops holders whose runs have surely ended. */
function dropOld(
  state: InstanceState,
  { holders }: SlotLedger,
  nowMs: number,
): Table<SlotHolder> {
  const keptMs = SLOT_TIMES.GRANT_MS + measureLongestRun(state);
  const isOld = ({ heardMs }: SlotHolder): boolean => nowMs - heardMs >= keptMs;
  return Object.values(holders).some(isOld)
    ? Object.fromEntries(
        Object.entries(holders).filter(([, holder]) => !isOld(holder)),
      )
    : holders;
}

type Grown = {
  readonly table: Table<SlotHolder>;
  readonly grantCount: number;
  readonly free: number;
  /** Slots granted beyond those that were held. */
  readonly taken: number;
  readonly grants: readonly HolderGrant[];
};

function grantHolder(
  at: Grown,
  {
    key,
    holder,
    target,
    upstream,
    known,
  }: {
    readonly key: string;
    readonly holder: SlotHolder;
    readonly target: number;
    readonly upstream: Upstream;
    readonly known: number;
  },
): Grown {
  const bound = Math.max(holder.peak, holder.use.inFlight);
  const slots = Math.min(target, bound + at.free);
  const more = Math.max(0, slots - bound);
  const isChanged = slots !== holder.slots || holder.number === 0;
  const grantCount = isChanged ? at.grantCount + 1 : at.grantCount;
  const granted: SlotHolder = {
    ...holder,
    slots,
    peak: Math.max(holder.peak, slots),
    number: isChanged ? grantCount : holder.number,
  };
  const grant = {
    upstreamId: upstream.upstreamId,
    number: granted.number,
    slots,
    allowance: known,
  };
  return {
    table: setEntry(at.table, key, granted),
    grantCount,
    free: at.free - more,
    taken: at.taken + more,
    grants: [
      ...at.grants,
      { to: holder.instanceId, reportMs: holder.reportMs, isChanged, grant },
    ],
  };
}

function checkSum(
  grown: Grown,
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
  const granted = held.silent + held.live + grown.taken;
  checkInvariant(
    "ramp-is-kept",
    granted <= Math.max(allowance, held.silent + held.live),
    () => `${upstreamId}: ${granted} granted, ${allowance} allowed`,
  );
}
