import type { Upstream } from "../upstreams/types.ts";
import { SLOT_TIMES } from "./slot_times.ts";
import type { SlotLedger } from "./types.ts";

/** Counts the slots that an upstream's ramp has reached. */
export function countRamp(ledger: SlotLedger, upstream: Upstream): number {
  if (upstream.isLeaving) {
    return 0;
  }
  const { SUCCESSES_PER_SLOT, RAMP_SUCCESSES } = SLOT_TIMES;
  const slotsPerSuccess = Math.max(
    1 / SUCCESSES_PER_SLOT,
    upstream.maxConcurrency / RAMP_SUCCESSES,
  );
  const raised = Math.floor(ledger.successes * slotsPerSuccess);
  return Math.min(
    upstream.maxConcurrency,
    Math.max(1, ledger.rampStart) + raised,
  );
}
