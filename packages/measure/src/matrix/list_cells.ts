import { loadChart } from "@gooseberryline/core";
import { SUBJECT_LIST } from "./subject_list.ts";
import type { Cell, MatrixFault } from "./types.ts";

/** Lists the cells: each list of faults at each step of each subject. */
export function listCells(
  faultLists: readonly (readonly MatrixFault[])[],
): readonly Cell[] {
  return SUBJECT_LIST.flatMap((subject) =>
    loadChart(subject.chart).states.flatMap((step) =>
      faultLists.map((faults) => ({ subject, step, faults })),
    ),
  );
}
