import type { InstanceEvent } from "@gooseberryline/core";
import type { CoreStep } from "./types.ts";

/** Wraps a step function so that it receives changed events. */
export function changeEvent(
  step: CoreStep,
  change: (event: InstanceEvent) => InstanceEvent,
): CoreStep {
  return (state, event, nowMs) => step(state, change(event), nowMs);
}
