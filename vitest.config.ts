import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { defineConfig } from "vitest/config";

const PACKAGES = [
  "core",
  "protocol",
  "fakes",
  "daemon",
  "cli",
  "gateway",
  "measure",
];

/** Tests of real sockets, files and timers. */
const REAL_TIME = [
  "packages/daemon/src/**/*_test.ts",
  "packages/protocol/src/**/*_test.ts",
  "packages/gateway/src/**/*_test.ts",
  "platform/src/**/*_test.ts",
  "packages/measure/src/{admin,caller,demo,system}/**/*_test.ts",
  "packages/measure/src/jobs/fleet_*_test.ts",
];

/** Tests of crowds of clients, whose memory is measured. */
const CROWDS = ["platform/src/soak/crowds/**/*_test.ts"];

/** Tests run against the sources, so that no stale build can pass. */
const alias = Object.fromEntries(
  PACKAGES.map((name) => [
    `@gooseberryline/${name}`,
    fileURLToPath(new URL(`packages/${name}/src/mod.ts`, import.meta.url)),
  ]),
);

/** Matches all tests but those that KNOWN-RED.txt names as `test: FILE > NAME`. */
const red = readFileSync(new URL("KNOWN-RED.txt", import.meta.url), "utf8")
  .split("\n")
  .map((line) => /^\s*test: .+? > (.+)$/.exec(line)?.[1])
  .filter((name) => name !== undefined)
  .map((name) => `(?!.*${name.replaceAll(/[^\w\s]/g, "\\$&")}$)`);
const testNamePattern = new RegExp(`^${red.join("")}`);

export default defineConfig({
  resolve: { alias },
  test: {
    testNamePattern,
    testTimeout: 120_000,
    // Its modules import folders, which only a bundler resolves.
    server: { deps: { inline: ["clipanion"] } },
    // Daemons keep time, so nothing heavy may run beside their tests.
    projects: [
      {
        extends: true,
        test: {
          name: "real-time",
          include: REAL_TIME,
          exclude: CROWDS,
          maxWorkers: 3,
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: "virtual-time",
          // Virtual time takes as long as the machine needs: this ends a hang.
          testTimeout: 900_000,
          include: ["packages/*/src/**/*_test.ts", "platform/src/**/*_test.ts"],
          exclude: [...REAL_TIME, ...CROWDS],
          maxWorkers: 8,
          sequence: { groupOrder: 1 },
        },
      },
      {
        extends: true,
        test: {
          name: "crowds",
          include: CROWDS,
          // One at a time, with nothing beside it.
          maxWorkers: 1,
          sequence: { groupOrder: 2 },
        },
      },
    ],
  },
});
