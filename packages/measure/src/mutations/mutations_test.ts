import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { drawActions } from "../soak/draw_actions.ts";
import { runActions } from "../soak/run_actions.ts";
import { MUTATION_STEPS } from "./constants.ts";
import { MUTATION_LIST } from "./mutation_list.ts";
import { runMutation } from "./run_mutation.ts";

const MEASURES = new URL("../../../../docs/MEASURES.md", import.meta.url);

test.each(MUTATION_LIST)("caught: $name", (mutation) => {
  const verdict = runMutation(mutation, mutation.seed);
  expect(verdict).toMatchObject({ kind: "broken" });
});

test("the unmutated core passes the same seeds", () => {
  const seeds = [...new Set(MUTATION_LIST.map(({ seed }) => seed))];
  const verdicts = seeds.map((seed) =>
    runActions(seed, drawActions(seed, MUTATION_STEPS)),
  );
  expect(verdicts.filter(({ kind }) => kind === "broken")).toEqual([]);
});

test("docs/MEASURES.md lists every mutation with its seed", () => {
  const page = readFileSync(MEASURES, "utf8");
  const missing = MUTATION_LIST.filter(
    ({ name, seed }) => !page.includes(`- ${name}: seed ${seed}`),
  );
  expect(missing.map(({ name }) => name)).toEqual([]);
});
