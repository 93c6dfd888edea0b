import { stepInstance } from "@gooseberryline/core";
import { drawActions } from "../soak/draw_actions.ts";
import { runActions } from "../soak/run_actions.ts";
import type { SoakVerdict } from "../soak/types.ts";
import { MUTATION_STEPS } from "./constants.ts";
import type { Mutation } from "./types.ts";

/** Runs the randomised run of a seed against the mutated core. */
export function runMutation(mutation: Mutation, seed: number): SoakVerdict {
  const actions = drawActions(seed, MUTATION_STEPS);
  return runActions(seed, actions, mutation.changeStep(stepInstance));
}
