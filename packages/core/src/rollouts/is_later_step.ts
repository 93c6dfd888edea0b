import { ROLLOUT_STEPS, type RolloutStep } from "./types.ts";

/** Returns whether a step comes after another one of the same order. */
export function isLaterStep(step: RolloutStep, than: RolloutStep): boolean {
  return ROLLOUT_STEPS.indexOf(step) > ROLLOUT_STEPS.indexOf(than);
}
