import { measureStart, type StartCost } from "./measure_start.ts";

const RUNS = 7;

/** Prints the median start cost: `main.js PROGRAM VARIABLE SETTINGS`. */
async function runMain(): Promise<void> {
  const [program, variable, settings] = process.argv.slice(2);
  if (!program || !variable || !settings) {
    console.error("usage: main.js PROGRAM VARIABLE SETTINGS");
    process.exitCode = 2;
    return;
  }
  const costs: StartCost[] = [];
  while (costs.length < RUNS) {
    costs.push(await measureStart(program, variable, settings));
  }
  const median = costs
    .sort((a, b) => a.processorMs - b.processorMs)
    .at(Math.floor(RUNS / 2));
  console.log(JSON.stringify({ measure: "start", program, ...median }));
}

await runMain();
