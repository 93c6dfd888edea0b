/** Mutations: deliberate defects that the checks have to detect. */
import type { InvariantName, stepInstance } from "@gooseberryline/core";

export type CoreStep = typeof stepInstance;

/** A deliberate defect in the core, and the invariant that must detect it. */
export type Mutation = {
  readonly name: string;
  readonly invariant: InvariantName;
  /** Seed of the randomised run that detects it. */
  readonly seed: number;
  /** Wraps the core's step function; called once per run, so may keep state. */
  readonly changeStep: (step: CoreStep) => CoreStep;
};
