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

/**
 * Returns the files that remain after repeatedly removing those that nothing
 * imports or that import nothing; only import cycles leave any.
 */
function listImportCycles(imports: ReadonlyMap<string, readonly string[]>) {
  const remaining = new Map(imports);
  let before = remaining.size + 1;
  while (remaining.size < before) {
    before = remaining.size;
    const imported = new Set([...remaining.values()].flat());
    [...remaining]
      .filter(
        ([path, targets]) =>
          !imported.has(path) ||
          !targets.some((target) => remaining.has(target)),
      )
      .forEach(([path]) => {
        remaining.delete(path);
      });
  }
  return [...remaining.keys()].map((path) => path.slice(ROOT.length)).sort();
}

test("there are no import cycles, type imports included", () => {
  const files = ["packages", "platform"].flatMap((folder) =>
    listFiles(join(ROOT, folder)),
  );
  expect(files.length).toBeGreaterThan(500);
  const imports = new Map(files.map((path) => [path, listImports(path)]));
  expect(listImportCycles(imports)).toEqual([]);
});
