import { readdirSync } from "node:fs";
import { loadChart } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { listCells } from "./list_cells.ts";
import { MATRIX_FAULTS } from "./matrix_faults.ts";
import { runCell } from "./run_cell.ts";
import { SUBJECT_LIST } from "./subject_list.ts";

const CHARTS = new URL("../../../core/charts/", import.meta.url);

/** Steps that no scenario reaches; a step listed here must stay so. */
const HOLES: readonly string[] = [
  // Only a non-idempotent request claims its key.
  "request at claiming",
];

const cells = listCells(MATRIX_FAULTS.map((fault) => [fault]));

const steps = SUBJECT_LIST.flatMap((subject) =>
  loadChart(subject.chart).states.map((step) => ({
    name: `${subject.name} at ${step}`,
    cells: cells.filter(
      (cell) => cell.subject === subject && cell.step === step,
    ),
  })),
);

test("every chart has its subject", () => {
  const charts = readdirSync(CHARTS).map((name) => name.replace(".json", ""));
  const covered = SUBJECT_LIST.map(({ chart }) => chart);
  expect(charts.filter((chart) => !covered.includes(chart))).toEqual([]);
});

test.each(steps)("$name holds under every fault", ({ name, cells: own }) => {
  const verdicts = own.map((cell) => ({
    fault: cell.faults.map((fault) => fault.name).join(" + "),
    verdict: runCell(cell),
  }));
  const expected = HOLES.includes(name) ? "unreached" : "held";
  expect(verdicts.filter(({ verdict }) => verdict.kind !== expected)).toEqual(
    [],
  );
});
