import { listCells } from "./list_cells.ts";
import { MATRIX_FAULTS } from "./matrix_faults.ts";
import { runCell } from "./run_cell.ts";
import type { Cell, CellVerdict } from "./types.ts";

/** One step of a subject, tested with every fault. */
export type MatrixStep = {
  readonly name: string;
  /** Runs the step's cells and lists those with an unexpected verdict. */
  readonly listBroken: () => readonly {
    readonly fault: string;
    readonly verdict: CellVerdict;
  }[];
};

/** Lists the steps of all subjects that follow a chart. */
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
          expected: getExpectedVerdict(cell),
        }))
        .filter(({ verdict, expected }) => verdict.kind !== expected),
  }));
}

/**
 * Returns the expected verdict; a step that the subject never enters must be
 * unreached.
 */
function getExpectedVerdict({ subject, step }: Cell): CellVerdict["kind"] {
  return subject.absentSteps?.includes(step) === true ? "unreached" : "held";
}
