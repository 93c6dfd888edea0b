import type { InvariantName } from "./types.ts";

type Counts = Partial<Record<InvariantName, number>>;

/** How often each invariant was checked and broken in this process. */
export const INVARIANTS: {
  shouldThrow: boolean;
  readonly checked: Counts;
  readonly broken: Counts;
} = { shouldThrow: false, checked: {}, broken: {} };
