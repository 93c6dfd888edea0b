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
  const { aliveMs, doubtMs } = ledger;
  const isProbed =
    nowMs - aliveMs > SLOT_TIMES.IDLE_MS ||
    aliveMs < doubtMs + SLOT_TIMES.DOUBT_MS;
  return isProbed ? Math.min(1, ramp) : ramp;
}
