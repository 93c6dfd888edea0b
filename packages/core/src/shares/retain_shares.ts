import type { InstanceState } from "../instance/types.ts";
import type { Share } from "../limits/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Table } from "../shared/types.ts";
import { applyShares } from "./apply_shares.ts";
import { findShare } from "./find_share.ts";

/** What is kept, and from when on no lent token stands against it. */
export type KeptShares = {
  readonly state: InstanceState;
  readonly kept: Table<Share>;
  readonly clearMs: number;
};

/** Gives up all but `shares` of some limits while a record's version stands. */
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
): KeptShares {
  const entries = Object.entries(shares).map(([customer, wanted]) => {
    const held = findShare(state, customer);
    const rate = Math.min(held.rate, wanted.rate);
    const burst = Math.min(held.burst, wanted.burst);
    return [customer, { rate, burst }] as const;
  });
  const kept = Object.fromEntries(entries);
  const before = state.shares.lowered[groupId];
  const earlier = before?.version === version ? before.shares : {};
  const lowered = setEntry(state.shares.lowered, groupId, {
    version,
    shares: { ...earlier, ...kept },
  });
  const after = { ...state, shares: { ...state.shares, lowered } };
  const lapses = Object.keys(kept)
    .flatMap((customer) => state.limits[customer]?.lent ?? [])
    .map(({ untilMs }) => untilMs);
  return {
    state: applyShares(after, Object.keys(kept), { isFresh: false, nowMs }),
    kept,
    clearMs: Math.max(nowMs, ...lapses),
  };
}
