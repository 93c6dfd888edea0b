import { fileURLToPath } from "node:url";
import { defineConfig } from "vitest/config";

const PACKAGES = ["core", "protocol", "fakes", "daemon", "cli", "measure"];

/** Tests run against the sources, so that no stale build can pass. */
const alias = Object.fromEntries(
  PACKAGES.map((name) => [
    `@gooseberryline/${name}`,
    fileURLToPath(new URL(`packages/${name}/src/mod.ts`, import.meta.url)),
  ]),
);

export default defineConfig({
  resolve: { alias },
  test: {
    include: ["packages/*/src/**/*_test.ts"],
    testTimeout: 60_000,
    // Its modules import folders, which only a bundler resolves.
    server: { deps: { inline: ["clipanion"] } },
  },
});
