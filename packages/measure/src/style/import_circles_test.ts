import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const ROOT = fileURLToPath(new URL("../../../..", import.meta.url));
const IMPORT = /(?:import|export)\s[^"]*?from\s+"(\.[^"]+)"/g;

function listFiles(folder: string): readonly string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    const isSkipped = ["dist", "node_modules"].includes(entry.name);
    if (entry.isDirectory()) {
      return isSkipped ? [] : listFiles(path);
    }
    return /\.tsx?$/.test(entry.name) && !entry.name.endsWith(".d.ts")
      ? [path]
      : [];
  });
}

function listImports(path: string): readonly string[] {
  const text = readFileSync(path, "utf8");
  return [...text.matchAll(IMPORT)].map(([, target]) =>
    resolve(dirname(path), target ?? ""),
  );
}

/** Files on a circle of imports, found by taking away those that are not. */
function listCircle(imports: ReadonlyMap<string, readonly string[]>) {
  const held = new Map(imports);
  let before = held.size + 1;
  while (held.size < before) {
    before = held.size;
    const wanted = new Set([...held.values()].flat());
    [...held]
      .filter(
        ([path, targets]) =>
          !wanted.has(path) || !targets.some((target) => held.has(target)),
      )
      .forEach(([path]) => {
        held.delete(path);
      });
  }
  return [...held.keys()].map((path) => path.slice(ROOT.length)).sort();
}

test("no import goes in a circle, types included", () => {
  const files = ["packages", "platform"].flatMap((folder) =>
    listFiles(join(ROOT, folder)),
  );
  expect(files.length).toBeGreaterThan(500);
  const imports = new Map(files.map((path) => [path, listImports(path)]));
  expect(listCircle(imports)).toEqual([]);
});
