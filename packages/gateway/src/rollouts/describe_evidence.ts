import type { EvidenceRow, RolloutEvidence } from "@gooseberryline/core";

/** Returns the sums of both versions' evidence, for logs and records. */
export function describeEvidence({ rows, sentNew, sentOld }: RolloutEvidence) {
  const fresh = rows.filter(({ isNew }) => isNew);
  const old = rows.filter(({ isNew }) => !isNew);
  return {
    sentNew,
    sentOld,
    answered: fresh.reduce((sum, row) => sum + row.answered, 0),
    bad: fresh.reduce(addBad, 0),
    oldAnswered: old.reduce((sum, row) => sum + row.answered, 0),
    oldBad: old.reduce(addBad, 0),
  };
}

function addBad(sum: number, { failed, broken, slow }: EvidenceRow): number {
  return sum + failed + broken + slow;
}
