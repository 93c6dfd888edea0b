import type { InvariantName } from "./types.ts";

type Counts = Partial<Record<InvariantName, number>>;

/** Counts of checks and violations of each invariant in this process. */
export const INVARIANTS: {
  shouldThrow: boolean;
  readonly checked: Counts;
  readonly broken: Counts;
} = { shouldThrow: false, checked: {}, broken: {} };
