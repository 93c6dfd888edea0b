import { parseArgs } from "node:util";
import { MEASURE_LIST } from "./measure_list.ts";
import type { MeasureRow } from "./types.ts";

const { values } = parseArgs({
  options: {
    json: { type: "boolean" },
    seed: { type: "string", default: "1" },
    only: { type: "string" },
  },
});

const seed = Number.parseInt(values.seed, 10);
const chosen = MEASURE_LIST.filter(
  ({ name }) => values.only === undefined || name === values.only,
);
for (const measure of chosen) {
  const rows = await measure.run(seed);
  rows.forEach((row) => {
    process.stdout.write(`${printRow(row)}\n`);
  });
}

function printRow(row: MeasureRow): string {
  return values.json === true
    ? JSON.stringify(row)
    : [row.measure, row.policy, row.value, row.unit, row.seed].join("\t");
}
