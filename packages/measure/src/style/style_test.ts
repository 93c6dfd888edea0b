import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { expect, test } from "vitest";

const ROOT = new URL("../../../../", import.meta.url).pathname;
const MAX_LINES = 300;
const PREDICATES = ["is", "has", "can", "should", "holds"];

function listSources(folder: string) {
  return readdirSync(join(ROOT, folder), { recursive: true, encoding: "utf8" })
    .filter((path) => !path.includes("node_modules"))
    .filter((path) => /^(\w+\/)?src\/.*\.ts$/.test(path))
    .filter((path) => !path.includes("generated"))
    .map((path) => ({
      path: join(folder, path),
      text: readFileSync(join(ROOT, folder, path), "utf8"),
    }));
}

const adapter = listSources("platform");
const product = listSources("packages");
const sources = [...product, ...adapter];

const verbs = readFileSync(join(ROOT, "docs", "VERBS.md"), "utf8")
  .split("\n")
  .filter((line) => line.startsWith("- "))
  .flatMap((line) => (line.slice(2).split(":")[0] ?? "").split(","))
  .map((verb) => verb.trim());

test("function names begin with a listed verb", () => {
  const allowed = new Set([...verbs, ...PREDICATES]);
  const violations = sources.flatMap(({ path, text }) =>
    [...text.matchAll(/^\s*(?:export )?(?:async )?function (\w+)/gm)]
      .map(([, name = ""]) => name)
      .filter((name) => !allowed.has(name.match(/^[a-z]+/)?.[0] ?? ""))
      .map((name) => `${path}: ${name}`),
  );
  expect(violations).toEqual([]);
});

test("a module exports one value", () => {
  const violations = sources
    .filter(({ path }) => !path.endsWith("mod.ts"))
    .filter(({ path }) => !path.endsWith("types.ts"))
    .filter(
      ({ text }) =>
        (text.match(/^export (?:async )?(?:function|const|class|let)/gm) ?? [])
          .length > 1,
    )
    .map(({ path }) => path);
  expect(violations).toEqual([]);
});

test("no module exceeds the line limit", () => {
  const large = sources
    .map(({ path, text }) => ({ path, lines: text.split("\n").length }))
    .filter(({ lines }) => lines > MAX_LINES)
    .map(({ path, lines }) => `${path}: ${lines}`);
  expect(large).toEqual([]);
});

test("each module has a doc comment", () => {
  const undocumented = sources
    .filter(({ path }) => !path.endsWith("_test.ts"))
    .filter(({ path }) => !path.endsWith("main.ts"))
    .filter(({ text }) => !text.includes("/**"))
    .map(({ path }) => path);
  expect(undocumented).toEqual([]);
});

test("names of the platform's protocol occur only in the adapter", () => {
  // Names used only by the platform; the last ones are keys of its records.
  const names =
    /x-gooseberryline-(?!profile)|["'`]\/gooseberryline\/|kv-(?:key|range|watch|txn|lease|keep)|store-revision|api-keys|cold-left-ms|max-attempts|timeout-ms|"op\/|"servers\/|has-more|set-keys/i;
  const violations = product
    .filter(({ path }) => !path.endsWith("style_test.ts"))
    .flatMap(({ path, text }) =>
      text
        .split("\n")
        .filter((line) => names.test(line))
        .map((line) => `${path}: ${line.trim()}`),
    );
  expect(violations).toEqual([]);
});

function countLines(files: typeof sources): number {
  return files
    .filter(({ path }) => !path.endsWith("_test.ts"))
    .reduce((sum, { text }) => sum + text.split("\n").length, 0);
}

/** The fault soak speaks the wire, but is a tool and not part of the adapter. */
function isSoak({ path }: (typeof sources)[number]): boolean {
  return path.startsWith("platform/src/soak/");
}

test("the adapter does not exceed its line limit", () => {
  const own = adapter.filter((file) => !isSoak(file));
  expect(countLines(own)).toBeLessThanOrEqual(2_000);
});

test("the fault soak is under a tenth of the code, and nothing else imports it", () => {
  const soak = adapter.filter(isSoak);
  const users = adapter
    .filter((file) => !isSoak(file))
    .filter(({ text }) => /from "[^"]*\/soak\//.test(text))
    .map(({ path }) => path);
  expect(soak.length).toBeGreaterThan(0);
  expect(countLines(soak)).toBeLessThan(countLines(sources) / 10);
  expect(users).toEqual([]);
});
