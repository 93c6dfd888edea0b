import { readFileSync } from "node:fs";
import { LOG_EVENTS } from "@gooseberryline/core";
import { expect, test } from "vitest";

const PAGE = new URL("../../../../docs/operators/logs.md", import.meta.url);

test("the log reference page lists each event with its fields", () => {
  const rows = readFileSync(PAGE, "utf8")
    .split("\n")
    .filter((row) => row.startsWith("| `"))
    .map((row) => row.split("|").map((cell) => cell.trim()));
  const listed = rows.map(([, event, fields, text]) => [
    event?.replaceAll("`", ""),
    fields?.match(/\w+/g) ?? [],
    text,
  ]);
  const known = Object.entries(LOG_EVENTS).map(([event, { fields, text }]) => [
    event,
    [...fields],
    text,
  ]);
  expect(listed).toEqual(known);
});
