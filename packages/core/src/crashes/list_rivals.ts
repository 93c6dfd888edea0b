import type { KeyEvidence } from "./collect_evidence.ts";

/** Lists the keys that the same crashes speak against as against the first. */
export function listRivals(
  evidence: readonly KeyEvidence[],
): readonly KeyEvidence[] {
  const [worst] = evidence;
  return evidence.filter(
    ({ crashes }) =>
      crashes.length === worst?.crashes.length &&
      crashes.every((crash) => worst.crashes.includes(crash)),
  );
}
