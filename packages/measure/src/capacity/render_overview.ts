import type { Slope } from "./types.ts";

/** Lists the figures that do not fit at the size to design for. */
export function renderOverview(slopes: readonly Slope[]): string {
  const over = slopes.filter(
    ({ limit, atTarget }) => limit !== null && atTarget > limit,
  );
  const lines = over.map(
    ({ role, quantity, variable, atTarget, unit, limit, mechanism }) =>
      `- ${role}, ${quantity} over ${variable}: ` +
      `${atTarget.toPrecision(3)} ${unit} against ${limit} ${unit} ` +
      `(\`${mechanism}\`)`,
  );
  return lines.length === 0 ? "Every figure fits.\n" : `${lines.join("\n")}\n`;
}
