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
          exclude: REAL_TIME,
          maxWorkers: 8,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
