import { parseArgs } from "node:util";
import { runProcesses } from "./run_processes.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    /** Multiplies the timeline's times, e.g. 0.2 for a short run. */
    pace: { type: "string", default: "1" },
  },
});

const counts = await runProcesses({
  seed: Number(values.seed),
  pace: Number(values.pace),
  print: (line) => process.stderr.write(`${line}\n`),
});
process.stdout.write(`${JSON.stringify(counts)}\n`);
const required = [
  counts.brokenElsewhere,
  counts.partial,
  counts.duplicated,
  counts.falseNotRun,
  counts.overLimit,
  counts.itemsLost,
  counts.itemsDoubled,
];
process.exit(required.every((count) => count === 0) ? 0 : 1);
