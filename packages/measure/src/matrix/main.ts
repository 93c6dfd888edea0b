import { listCells } from "./list_cells.ts";
import { MATRIX_FAULTS } from "./matrix_faults.ts";
import { runCell } from "./run_cell.ts";

const isPairs = process.argv.includes("--pairs");
const faultLists = isPairs
  ? MATRIX_FAULTS.flatMap((a) => MATRIX_FAULTS.map((b) => [a, b]))
  : MATRIX_FAULTS.map((fault) => [fault]);
const cells = listCells(faultLists);
const verdicts = cells.map((cell) => {
  const verdict = runCell(cell);
  const { subject, step, faults } = cell;
  const fault = faults.map(({ name }) => name).join(" + ");
  if (verdict.kind !== "held") {
    const line = { subject: subject.name, step, fault, ...verdict };
    process.stdout.write(`${JSON.stringify(line)}\n`);
  }
  return verdict;
});
const countKind = (kind: string): number =>
  verdicts.filter((verdict) => verdict.kind === kind).length;
const broken = countKind("broken");
process.stdout.write(
  `${JSON.stringify({
    cells: cells.length,
    held: countKind("held"),
    holes: countKind("unreached"),
    broken,
  })}\n`,
);
process.exitCode = broken === 0 ? 0 : 1;
