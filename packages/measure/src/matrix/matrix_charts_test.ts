import { readdirSync } from "node:fs";
import { expect, test } from "vitest";
import { SUBJECT_LIST } from "./subject_list.ts";

const CHARTS = new URL("../../../core/charts/", import.meta.url);

const charts = readdirSync(CHARTS).map((name) => name.replace(".json", ""));

test("every chart has a subject", () => {
  const covered = SUBJECT_LIST.map(({ chart }) => chart);
  expect(charts.filter((chart) => !covered.includes(chart))).toEqual([]);
});

test("every chart has a test file", () => {
  const tests = readdirSync(new URL(".", import.meta.url));
  const untested = charts.filter(
    (chart) => !tests.includes(`matrix_${chart}_test.ts`),
  );
  expect(untested).toEqual([]);
});
