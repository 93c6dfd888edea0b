import { groupBy } from "../shared/group_by.ts";
import type { EvidenceRow, RolloutEvidence, UpstreamAnswers } from "./types.ts";

const NO_ANSWERS: UpstreamAnswers = { answered: 0, bad: 0 };

/** Adds up the evidence of several instances. */
export function mergeEvidence(
  parts: readonly RolloutEvidence[],
): RolloutEvidence {
  const rows = groupBy(
    parts.flatMap((part) => part.rows),
    ({ period, route, isNew }) => `${period} ${isNew} ${route}`,
  );
  const upstreams = parts
    .flatMap((part) => Object.entries(part.upstreams))
    .reduce((merged, [id, counts]) => {
      const known = merged.get(id) ?? NO_ANSWERS;
      return merged.set(id, {
        answered: known.answered + counts.answered,
        bad: known.bad + counts.bad,
      });
    }, new Map<string, UpstreamAnswers>());
  return {
    rows: [...rows.values()].flatMap(([first, ...others]) =>
      first === undefined ? [] : [others.reduce(addRow, first)],
    ),
    upstreams: Object.fromEntries(upstreams),
    sentNew: parts.reduce((sum, { sentNew }) => sum + sentNew, 0),
    sentOld: parts.reduce((sum, { sentOld }) => sum + sentOld, 0),
  };
}

function addRow(a: EvidenceRow, b: EvidenceRow): EvidenceRow {
  return {
    ...a,
    answered: a.answered + b.answered,
    failed: a.failed + b.failed,
    broken: a.broken + b.broken,
    judged: a.judged + b.judged,
    slow: a.slow + b.slow,
  };
}
