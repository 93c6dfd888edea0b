import type { Effect } from "@gooseberryline/core";
import type { CoreStep } from "./types.ts";

/** Wraps a step function so that it returns changed effects. */
export function changeEffects(
  step: CoreStep,
  change: (effect: Effect) => readonly Effect[],
): CoreStep {
  return (state, event, nowMs) => {
    const after = step(state, event, nowMs);
    return { ...after, effects: after.effects.flatMap(change) };
  };
}
