import { stepInstance } from "@gooseberryline/core";
import { drawActions } from "../soak/draw_actions.ts";
import { runActions } from "../soak/run_actions.ts";
import type { SoakVerdict } from "../soak/types.ts";
import { MUTATION_STEPS } from "./constants.ts";
import type { Mutation } from "./types.ts";

/** Runs a seed against the broken program. */
export function runMutation(mutation: Mutation, seed: number): SoakVerdict {
  const actions = drawActions(seed, MUTATION_STEPS);
  return runActions(seed, actions, mutation.wrap(stepInstance));
}
