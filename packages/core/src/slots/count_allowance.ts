import type { Policy } from "../policy/types.ts";
import type { Upstream } from "../upstreams/types.ts";
import { countRamp } from "./count_ramp.ts";
import { SLOT_TIMES } from "./slot_times.ts";
import type { SlotLedger } from "./types.ts";

/**
 * Counts the slots of an upstream over all instances: those reached by its
 * ramp, or at most one after a long time without a response, or after a failure
 * until the next response.
 */
export function countAllowance(
  ledger: SlotLedger,
  upstream: Upstream,
  { nowMs, policy }: { readonly nowMs: number; readonly policy: Policy },
): number {
  if (!policy.hasRamp && !upstream.isLeaving) {
    return upstream.maxConcurrency;
  }
  const ramp = countRamp(ledger, upstream);
  const { lastResponseMs, lastErrorMs } = ledger;
  const isProbeNeeded =
    nowMs - lastResponseMs > SLOT_TIMES.IDLE_MS ||
    lastResponseMs < lastErrorMs + SLOT_TIMES.STALE_RESPONSE_MS;
  return isProbeNeeded ? Math.min(1, ramp) : ramp;
}
