import type { BurnRow } from "./types.ts";

/** Merges the rows of several instances, weighting burn rates by requests. */
export function mergeBurnRows(
  reports: readonly (readonly BurnRow[])[],
): readonly BurnRow[] {
  const merged = reports.flat().reduce((rows, row) => {
    const id = [row.profile, row.customer, row.window].join("\n");
    const existing = rows.get(id);
    return rows.set(id, existing === undefined ? row : addRows(existing, row));
  }, new Map<string, BurnRow>());
  return [...merged.values()];
}

function addRows(a: BurnRow, b: BurnRow): BurnRow {
  const total = a.total + b.total;
  const missed = a.missed + b.missed;
  const missedShare = total === 0 ? 0 : missed / total;
  const burnRate =
    total === 0 ? 0 : (a.burnRate * a.total + b.burnRate * b.total) / total;
  return { ...a, total, missed, missedShare, burnRate };
}
