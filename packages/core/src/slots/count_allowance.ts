import type { Policy } from "../policy/types.ts";
import type { Upstream } from "../upstreams/types.ts";
import { SLOT_TIMES } from "./constants.ts";
import { countRamp } from "./count_ramp.ts";
import type { SlotLedger } from "./types.ts";

/**
 * Counts the slots of an upstream over all instances together: those of its
 * ramp, and a single one after a long time without an answer, or after a
 * failure until the next sign of life.
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
  const { lastAnswerMs, lastErrorMs } = ledger;
  const isProbeNeeded =
    nowMs - lastAnswerMs > SLOT_TIMES.IDLE_MS ||
    lastAnswerMs < lastErrorMs + SLOT_TIMES.STALE_ANSWER_MS;
  return isProbeNeeded ? Math.min(1, ramp) : ramp;
}
