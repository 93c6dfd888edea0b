import type { Effect } from "@gooseberryline/core";
import type { CoreStep } from "./types.ts";

/** Wraps a step so that it gives changed effects. */
export function changeEffects(
  step: CoreStep,
  change: (effect: Effect) => readonly Effect[],
): CoreStep {
  return (state, event, nowMs) => {
    const after = step(state, event, nowMs);
    return { ...after, effects: after.effects.flatMap(change) };
  };
}
