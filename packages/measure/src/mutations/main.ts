import { MUTATION_LIST } from "./mutation_list.ts";
import { runMutation } from "./run_mutation.ts";

const SEEDS = Array.from({ length: 60 }, (_, at) => at + 1);

const caughtSeeds = MUTATION_LIST.map((mutation) => {
  const seed = SEEDS.find(
    (candidate) => runMutation(mutation, candidate).kind === "broken",
  );
  const verdict = seed === undefined ? undefined : runMutation(mutation, seed);
  const { name, invariant } = mutation;
  const line = { name, invariant, seed: seed ?? null, verdict };
  process.stdout.write(`${JSON.stringify(line)}\n`);
  return seed;
});
process.exitCode = caughtSeeds.includes(undefined) ? 1 : 0;
