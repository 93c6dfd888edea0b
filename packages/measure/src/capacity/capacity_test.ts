import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { EXPERIMENT_LIST } from "./experiment_list.ts";
import { fitLine } from "./fit_line.ts";
import { renderPage } from "./render_page.ts";
import type { ExperimentResult } from "./types.ts";

const DOCS = new URL("../../../../docs/", import.meta.url);
const page = readFileSync(new URL("CAPACITY.md", DOCS), "utf8");
const results = readFileSync(new URL("capacity/run.jsonl", DOCS), "utf8")
  .trim()
  .split("\n")
  .map((line) => JSON.parse(line) as ExperimentResult);

test("the capacity page matches the last recorded run", () => {
  expect(renderPage(page, results)).toBe(page);
});

test("the recorded run contains all experiments", () => {
  const buildName = ({ role, quantity, variable }: ExperimentResult) =>
    [role, quantity, variable].join("/");
  const listed = EXPERIMENT_LIST.map((experiment) =>
    buildName(experiment as never),
  );
  expect(results.map(buildName)).toEqual(listed);
});

test.each(EXPERIMENT_LIST)(
  "$role, $quantity: at least four values spanning a factor of 8",
  ({ values }) => {
    expect(values.length).toBeGreaterThanOrEqual(4);
    expect(Math.max(...values) / Math.min(...values)).toBeGreaterThanOrEqual(8);
  },
);

test("fitLine recovers the line through collinear points", () => {
  const points = [1, 2, 4, 8].map((x) => ({ x, y: 3 * x + 5 }));
  const line = fitLine(points);
  expect(line.slope).toBeCloseTo(3);
  expect(line.intercept).toBeCloseTo(5);
  expect(line.fit).toBeCloseTo(1);
});
