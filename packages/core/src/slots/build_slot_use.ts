import type { InstanceState } from "../instance/types.ts";
import { canRunItems } from "../jobs/can_run_items.ts";
import type { Upstream } from "../upstreams/types.ts";
import type { SlotUse } from "./types.ts";

const NEVER = -1;

/** Builds this instance's usage report of an upstream for its slot owner. */
export function buildSlotUse(
  state: InstanceState,
  upstream: Upstream,
  { nowMs, term }: { readonly nowMs: number; readonly term: string },
): SlotUse {
  const { inFlight, batchInFlight, service, lastAnswerMs } = upstream;
  const queued = state.queues.services[service]?.count ?? 0;
  const isGranted = nowMs < upstream.allowanceUntilMs;
  return {
    upstreamId: upstream.upstreamId,
    inFlight,
    fixed: countUncancellable(state, upstream),
    slots: isGranted ? upstream.allowance : 0,
    onlineWant: inFlight - batchInFlight + queued,
    batchWant: canRunItems(state, upstream)
      ? upstream.maxConcurrency
      : batchInFlight,
    grantNumber: upstream.grantTerm === term ? upstream.grantNumber : 0,
    successCount: upstream.successCount,
    coldCount: upstream.coldCount,
    errorCount: upstream.errorCount,
    bootId: upstream.bootId,
    knownAllowance: upstream.knownAllowance,
    answerAgeMs: lastAnswerMs < 0 ? NEVER : nowMs - lastAnswerMs,
  };
}

function countUncancellable(
  { policy }: InstanceState,
  upstream: Upstream,
): number {
  const { inFlight, batchRuns } = upstream;
  return policy.canYield ? inFlight - batchRuns.length : inFlight;
}
