import { chainStep } from "./chain_step.ts";
import type { InstanceState, Step } from "./types.ts";

/** Applies `stepBy` to `parts` in order and concatenates the effects. */
export function chainAll<Part>(
  state: InstanceState,
  parts: readonly Part[],
  stepBy: (state: InstanceState, part: Part) => Step,
): Step {
  const start: Step = { state, effects: [] };
  return parts.reduce(
    (step, part) => chainStep(step, (current) => stepBy(current, part)),
    start,
  );
}
