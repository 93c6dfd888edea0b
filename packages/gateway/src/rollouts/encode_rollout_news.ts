import type { EvidenceRow, RolloutNews } from "@gooseberryline/core";

/** Encodes what peers are told of roll-outs: rows without names, to be short. */
export function encodeRolloutNews(
  rollouts: Readonly<Record<string, RolloutNews>>,
): Readonly<Record<string, unknown>> {
  return Object.fromEntries(
    Object.entries(rollouts).map(([service, { rows, ...news }]) => [
      service,
      { ...news, rows: rows.map(encodeRow) },
    ]),
  );
}

function encodeRow(row: EvidenceRow): readonly (number | string)[] {
  const { period, route, isNew, answered, failed, broken, judged, slow } = row;
  const side = isNew ? 1 : 0;
  return [period, route, side, answered, failed, broken, judged, slow];
}
