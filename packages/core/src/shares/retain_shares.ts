import type { InstanceState } from "../instance/types.ts";
import type { Share } from "../limits/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Table } from "../shared/types.ts";
import { applyShares } from "./apply_shares.ts";
import { findShare } from "./find_share.ts";

/** The shares kept, and when the last loan against them expires. */
export type RetainedShares = {
  readonly state: InstanceState;
  readonly kept: Table<Share>;
  readonly loansEndMs: number;
};

/** Reduces the held shares to at most `shares` for one version of a record. */
export function retainShares(
  state: InstanceState,
  {
    groupId,
    version,
    shares,
  }: {
    readonly groupId: string;
    readonly version: number;
    readonly shares: Table<Share>;
  },
  nowMs: number,
): RetainedShares {
  const entries = Object.entries(shares).map(([customer, limit]) => {
    const current = findShare(state, customer);
    const rate = Math.min(current.rate, limit.rate);
    const burst = Math.min(current.burst, limit.burst);
    return [customer, { rate, burst }] as const;
  });
  const kept = Object.fromEntries(entries);
  const known = state.shares.reductions[groupId];
  const earlier = known?.version === version ? known.shares : {};
  const reductions = setEntry(state.shares.reductions, groupId, {
    version,
    shares: { ...earlier, ...kept },
  });
  const after = { ...state, shares: { ...state.shares, reductions } };
  const loanEnds = Object.keys(kept)
    .flatMap((customer) => state.limits[customer]?.loans ?? [])
    .map(({ untilMs }) => untilMs);
  return {
    state: applyShares(after, Object.keys(kept), {
      isFirstDivision: false,
      nowMs,
    }),
    kept,
    loansEndMs: Math.max(nowMs, ...loanEnds),
  };
}
