import type { KeyEvidence } from "./collect_evidence.ts";

/** Lists the keys that the same crashes speak against as against this one. */
export function listRivals(
  worst: KeyEvidence,
  evidence: readonly KeyEvidence[],
): readonly KeyEvidence[] {
  return evidence.filter(
    ({ crashes }) =>
      crashes.length === worst.crashes.length &&
      crashes.every((crash) => worst.crashes.includes(crash)),
  );
}
