import type { InstanceState } from "../instance/types.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import type { AvailableUpstream } from "../upstreams/list_available_upstreams.ts";
import type { Upstream } from "../upstreams/types.ts";

/**
 * Finds the upstream with the most recently started idempotent batch item.
 * Cancelling that item loses the least progress and frees its slot for online
 * work.
 */
export function findPreemptionVictim(
  state: InstanceState,
  available: readonly AvailableUpstream[],
): Upstream | undefined {
  if (!state.policy.canYield) {
    return undefined;
  }
  return available
    .filter(({ upstream, slots }) => upstream.inFlight <= slots)
    .filter(({ upstream }) => upstream.batchRuns.length > 0)
    .map(({ upstream }) => ({
      upstream,
      startedMs: getStartMs(state, upstream),
    }))
    .sort((a, b) => b.startedMs - a.startedMs)
    .at(0)?.upstream;
}

function getStartMs(state: InstanceState, { batchRuns }: Upstream): number {
  const workId = batchRuns.at(-1);
  const work =
    workId === undefined ? undefined : getSharded(state.works, workId);
  return work?.attempt?.startedMs ?? 0;
}
