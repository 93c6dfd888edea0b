import { parseArgs } from "node:util";
import { drawActions } from "./draw_actions.ts";
import { runActions } from "./run_actions.ts";
import { shrinkActions } from "./shrink_actions.ts";
import type { SoakAction } from "./types.ts";

const DEFAULT_STEPS = "60";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    steps: { type: "string", default: DEFAULT_STEPS },
    /** How many seeds to run, from `--seed` on. */
    seeds: { type: "string", default: "1" },
  },
});

const first = Number.parseInt(values.seed, 10);
const steps = Number.parseInt(values.steps, 10);
const seeds = Array.from(
  { length: Number.parseInt(values.seeds, 10) },
  (_, at) => first + at,
);
const broken = seeds.filter((seed) => !runSeed(seed));
process.stdout.write(
  `${JSON.stringify({ seeds: seeds.length, steps, broken })}\n`,
);
process.exitCode = broken.length === 0 ? 0 : 1;

function runSeed(seed: number): boolean {
  const actions = drawActions(seed, steps);
  const verdict = runActions(seed, actions);
  if (verdict.kind === "held") {
    if (seeds.length === 1) {
      process.stdout.write(`${JSON.stringify(verdict)}\n`);
    }
    return true;
  }
  const promise = namePromise(verdict.message);
  const isFailing = (tried: readonly SoakAction[]): boolean => {
    const again = runActions(seed, tried);
    return again.kind === "broken" && namePromise(again.message) === promise;
  };
  const short = shrinkActions(actions, isFailing);
  process.stderr.write(
    `seed ${seed}: ${verdict.message}\n` +
      `replay: npm run soak -- --seed ${seed} --steps ${steps}\n` +
      `shortest: ${JSON.stringify(short)}\n`,
  );
  return false;
}

/** A shortened run has to break the same promise. */
function namePromise(message: string): string {
  return message.split(":")[0] ?? "";
}
