import { createMetadata } from "@gooseberryline/fakes";
import { expect, test } from "vitest";
import { SoleVersionCheck } from "./sole_version_check.ts";
import type { ListedVersions } from "./types.ts";

const SERVICE = "s";

function createCheck() {
  const answers: ((listed: ListedVersions | undefined) => void)[] = [];
  const check = new SoleVersionCheck({
    store: createMetadata().store,
    versions: { findSoleVersion: () => "v1" },
    listVersions: () => new Promise((resolve) => answers.push(resolve)),
    readUnixMs: () => Date.now(),
  });
  return { check, answers };
}

// Guards against a call of the store for each of many streams that break at once.
test("questions at the same time share a check that begins after them", async () => {
  const { check, answers } = createCheck();
  const first = check.find(SERVICE);
  const others = Array.from({ length: 50 }, () => check.find(SERVICE));
  expect(answers).toHaveLength(1);
  answers[0]?.(new Map());
  await first;
  await expect.poll(() => answers.length).toBe(2);
  answers[1]?.(new Map());
  await Promise.all(others);
  expect(answers).toHaveLength(2);
});

test("nothing is said while the store does not list the upstreams", async () => {
  const { check, answers } = createCheck();
  const found = check.find(SERVICE);
  answers[0]?.(undefined);
  expect(await found).toBeUndefined();
});
