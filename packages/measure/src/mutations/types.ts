/** Breaks made on purpose, which the checks have to catch. */
import type { InvariantName, stepInstance } from "@gooseberryline/core";

export type CoreStep = typeof stepInstance;

/** One way to break the program, and where it must be caught. */
export type Mutation = {
  readonly name: string;
  readonly invariant: InvariantName;
  /** Seed of the randomised run that catches it. */
  readonly seed: number;
  /** Wraps the core's step; called once a run, so it may keep state. */
  readonly wrap: (step: CoreStep) => CoreStep;
};
