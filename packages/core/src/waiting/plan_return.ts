import { WAITING } from "./constants.ts";
import type { Pace, ReturnPlan } from "./types.ts";

type RefusedRequest = {
  /** When it could start, or the overload ends, in ms from now. */
  readonly expectedMs: number;
  /** Longest delay after which its caller would come again, in ms. */
  readonly maxReturnMs: number;
  readonly pace: Pace;
  readonly nowMs: number;
  /** A random number in [0, 1). */
  readonly drawn: number;
};

type PlannedReturn = {
  readonly inMs: number;
  readonly plan: ReturnPlan;
};

/**
 * Says when a refused caller should return: one after the other, each when a part
 * of the slots that become free here is left by the others, from when the request
 * could start. Once that is later than callers return, they are spread over the
 * time until then.
 */
export function planReturn(
  plan: ReturnPlan,
  { expectedMs, maxReturnMs, pace, nowMs, drawn }: RefusedRequest,
): PlannedReturn {
  const gapMs =
    pace.meanServiceMs /
    (Math.max(pace.share, Number.MIN_VALUE) * WAITING.RETURN_SHARE);
  const open = plan.filter((atMs) => atMs > nowMs);
  const lastMs = open.at(-1) ?? nowMs;
  const soonestMs = Math.min(expectedMs, maxReturnMs);
  const nextMs = Math.max(soonestMs, lastMs - nowMs + gapMs);
  const inMs =
    nextMs <= maxReturnMs
      ? nextMs
      : soonestMs + (maxReturnMs - soonestMs) * drawn;
  return { inMs, plan: [...open, nowMs + inMs].toSorted((a, b) => a - b) };
}
