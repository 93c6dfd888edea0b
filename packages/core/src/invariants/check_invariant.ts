import { INVARIANTS } from "./invariant_counts.ts";
import type { InvariantName } from "./types.ts";

/**
 * Checks an invariant at run time. Counts every check and every violation, and
 * throws on a violation if `INVARIANTS.shouldThrow` is set.
 */
export function checkInvariant(
  name: InvariantName,
  holds: boolean,
  describe: () => string,
): void {
  INVARIANTS.checked[name] = (INVARIANTS.checked[name] ?? 0) + 1;
  if (holds) {
    return;
  }
  INVARIANTS.broken[name] = (INVARIANTS.broken[name] ?? 0) + 1;
  if (INVARIANTS.shouldThrow) {
    throw new Error(`invariant ${name} broken: ${describe()}`);
  }
}
