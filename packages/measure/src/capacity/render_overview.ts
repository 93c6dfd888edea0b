import type { ExperimentResult } from "./types.ts";

/** Renders the list of quantities over their limit at the target size. */
export function renderOverview(results: readonly ExperimentResult[]): string {
  const exceeded = results.filter(
    ({ limit, atTarget }) => limit !== null && atTarget > limit,
  );
  const lines = exceeded.map(
    ({ role, quantity, variable, atTarget, unit, limit, mechanism }) =>
      `- ${role}, ${quantity} over ${variable}: ` +
      `${atTarget.toPrecision(3)} ${unit} against ${limit} ${unit} ` +
      `(\`${mechanism}\`)`,
  );
  return lines.length === 0 ? "Every figure fits.\n" : `${lines.join("\n")}\n`;
}
