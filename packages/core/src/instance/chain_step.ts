import type { InstanceState, Step } from "./types.ts";

/** Applies `next` to the state of `step` and concatenates the effects. */
export function chainStep(
  step: Step,
  next: (state: InstanceState) => Step,
): Step {
  const after = next(step.state);
  return { state: after.state, effects: [...step.effects, ...after.effects] };
}
