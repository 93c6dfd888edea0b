import { checkInvariant } from "../invariants/check_invariant.ts";
import type { Work } from "./types.ts";
import { WORK_CHART } from "./work_chart.ts";

/**
 * Applies an event to the work's phase. A missing transition violates an
 * invariant and leaves the work unchanged.
 */
export function advancePhase(work: Work, event: string): Work {
  const next = WORK_CHART.next(work.phase, event);
  checkInvariant(
    "chart-arrow-exists",
    next !== undefined,
    () => `${work.order.workId}: ${event} in ${work.phase}`,
  );
  return next === undefined ? work : { ...work, phase: next };
}
