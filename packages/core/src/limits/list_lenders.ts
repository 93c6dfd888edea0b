import type { InstanceId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { findGroup } from "../shares/find_group.ts";
import type { Limit, Share } from "./types.ts";

const MS_PER_SECOND = 1000;

/** A peer that holds a share of a limit. */
export type Lender = {
  readonly instanceId: InstanceId;
  readonly isLocal: boolean;
  /** Estimated time until the peer has a token for one more request. */
  readonly delayMs: number;
};

/**
 * Lists the peers whose share can hold a whole token, by estimated delay and
 * with peers of the own data centre first among equals.
 */
export function listLenders(
  state: InstanceState,
  { customer, limit }: { readonly customer: string; readonly limit: Limit },
  nowMs: number,
): readonly Lender[] {
  const entries = findGroup(state, customer)?.record.limits[customer] ?? {};
  const { members } = state.membership;
  return Object.entries(entries)
    .filter(([id]) => id !== state.self.instanceId)
    .filter(([, { burst }]) => burst * limit.burst >= 1)
    .filter(([id]) => (limit.peerLevels[id]?.unresponsiveUntilMs ?? 0) <= nowMs)
    .filter(([id, { number }]) => (members[id]?.retired ?? 0) < number)
    .map(([id, share]) => ({
      instanceId: id as InstanceId,
      isLocal: members[id]?.dataCentre === state.self.dataCentre,
      delayMs: measureDelayMs(limit, { id, share, nowMs }),
    }))
    .sort(
      (a, b) => a.delayMs - b.delayMs || Number(b.isLocal) - Number(a.isLocal),
    );
}

function measureDelayMs(
  { burst, rate, peerLevels }: Limit,
  {
    id,
    share,
    nowMs,
  }: {
    readonly id: string;
    readonly share: Share;
    readonly nowMs: number;
  },
): number {
  const cap = share.burst * burst;
  const ratePerMs = (share.rate * rate) / MS_PER_SECOND;
  const known = peerLevels[id];
  const tokens =
    known === undefined
      ? cap
      : Math.min(cap, known.tokens + (nowMs - known.atMs) * ratePerMs);
  return tokens >= 1 ? 0 : (1 - tokens) / ratePerMs;
}
