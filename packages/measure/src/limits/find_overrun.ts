import type { Admission } from "@gooseberryline/fakes";

const MS_PER_SECOND = 1000;
const EPSILON = 1e-6;

/** Terms that hold from `fromMs` on. */
export type Terms = {
  readonly fromMs: number;
  readonly rate: number;
  readonly burst: number;
};

/**
 * Finds the first admission that breaks rate x window + burst for some
 * window that ends there. One bucket over the whole fleet, full at the
 * start, stays at or above zero just when every window is kept.
 */
export function findOverrun(
  admissions: readonly Admission[],
  terms: readonly Terms[],
): Admission | undefined {
  const first = terms[0];
  const state = { tokens: first?.burst ?? 0, atMs: first?.fromMs ?? 0 };
  return admissions.find(({ atMs, count }) => {
    terms
      .filter(({ fromMs }) => fromMs <= atMs)
      .forEach(({ rate, burst }, at, all) => {
        const endMs = Math.min(atMs, all[at + 1]?.fromMs ?? atMs);
        const elapsedMs = Math.max(0, endMs - state.atMs);
        const accrued = (elapsedMs * rate) / MS_PER_SECOND;
        state.tokens = Math.min(burst, state.tokens + accrued);
        state.atMs = Math.max(state.atMs, endMs);
      });
    state.tokens -= count;
    return state.tokens < -EPSILON;
  });
}
