import { loadChart } from "@gooseberryline/core";
import { MATRIX_FAULTS } from "./matrix_faults.ts";
import { SUBJECT_LIST } from "./subject_list.ts";
import type { Cell, MatrixFault } from "./types.ts";

/** Lists the cells: each fault once at each step of each subject's chart. */
export function listCells(): readonly Cell[] {
  return listWith(MATRIX_FAULTS.map((fault) => [fault]));
}

/** Lists the cells of every pair of faults, the same one twice included. */
export function listWith(
  faultLists: readonly (readonly MatrixFault[])[],
): readonly Cell[] {
  return SUBJECT_LIST.flatMap((subject) =>
    loadChart(subject.chart).states.flatMap((step) =>
      faultLists.map((faults) => ({ subject, step, faults })),
    ),
  );
}
