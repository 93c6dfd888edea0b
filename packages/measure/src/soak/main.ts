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
    /** Number of consecutive seeds to run, starting at `--seed`. */
    seeds: { type: "string", default: "1" },
  },
});

const firstSeed = Number.parseInt(values.seed, 10);
const steps = Number.parseInt(values.steps, 10);
const seeds = Array.from(
  { length: Number.parseInt(values.seeds, 10) },
  (_, offset) => firstSeed + offset,
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
  const guarantee = parseGuarantee(verdict.message);
  const isFailing = (candidate: readonly SoakAction[]): boolean => {
    const result = runActions(seed, candidate);
    return (
      result.kind === "broken" && parseGuarantee(result.message) === guarantee
    );
  };
  const shortest = shrinkActions(actions, isFailing);
  process.stderr.write(
    `seed ${seed}: ${verdict.message}\n` +
      `replay: npm run soak -- --seed ${seed} --steps ${steps}\n` +
      `shortest: ${JSON.stringify(shortest)}\n`,
  );
  return false;
}

/** Reads the violated guarantee, which a shrunk run has to violate as well. */
function parseGuarantee(message: string): string {
  return message.split(":")[0] ?? "";
}
