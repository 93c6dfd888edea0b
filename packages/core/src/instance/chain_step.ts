import type { InstanceState, Step } from "./types.ts";

/** Runs `next` on the state of `step` and joins the effects of both. */
export function chainStep(
  step: Step,
  next: (state: InstanceState) => Step,
): Step {
  const after = next(step.state);
  return { state: after.state, effects: [...step.effects, ...after.effects] };
}
