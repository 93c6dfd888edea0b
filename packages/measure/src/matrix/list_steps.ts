import { listCells } from "./list_cells.ts";
import { MATRIX_FAULTS } from "./matrix_faults.ts";
import { runCell } from "./run_cell.ts";
import type { Cell, CellVerdict } from "./types.ts";

/** One step of a subject, with all faults that strike there. */
export type MatrixStep = {
  readonly name: string;
  /** Runs the step's cells and lists those that did not hold. */
  readonly listBroken: () => readonly {
    readonly fault: string;
    readonly verdict: CellVerdict;
  }[];
};

/** Lists the steps of the subjects that go through a chart. */
export function listSteps(chart: string): readonly MatrixStep[] {
  const cells = listCells(MATRIX_FAULTS.map((fault) => [fault])).filter(
    ({ subject }) => subject.chart === chart,
  );
  const names = new Set(
    cells.map(({ subject, step }) => `${subject.name} at ${step}`),
  );
  return [...names].map((name) => ({
    name,
    listBroken: () =>
      cells
        .filter(({ subject, step }) => `${subject.name} at ${step}` === name)
        .map((cell) => ({
          fault: cell.faults.map((fault) => fault.name).join(" + "),
          verdict: runCell(cell),
          expected: nameExpected(cell),
        }))
        .filter(({ verdict, expected }) => verdict.kind !== expected),
  }));
}

/** A step that a subject never takes must stay out of its reach. */
function nameExpected({ subject, step }: Cell): CellVerdict["kind"] {
  return subject.absentSteps?.includes(step) === true ? "unreached" : "held";
}
