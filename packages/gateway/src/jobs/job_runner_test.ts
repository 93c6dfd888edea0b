import { BATCHES, batchKeys } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { startRunner } from "../testing/start_runner.ts";
import { waitMs } from "../wait_ms.ts";
import { JOB_CONSTANTS } from "./constants.ts";

/** Time for several rounds of the runner, in ms. */
const ROUNDS_MS = 8 * JOB_CONSTANTS.TICK_MS;

// Guards against items of an ended job that run at a worker whose watch of the
// claims is behind.
test("a job that ended before it was loaded is not run", async () => {
  const { metadata, runner, showClaims, listOwned } = await startRunner([
    "j1",
    "j2",
  ]);
  await showClaims();
  metadata.remove(batchKeys.claim("j1"));
  runner.start();
  await expect.poll(listOwned).toEqual(["j2"]);
  await waitMs(ROUNDS_MS);
  expect(listOwned()).toEqual(["j2"]);
  runner.stop();
});

// Guards against a job that is loaded again and again from an outdated claim.
test("a job whose claim was taken over is left to its new owner", async () => {
  const { runner, showClaims, listOwned, takeOver, lines } = await startRunner([
    "j1",
  ]);
  await showClaims();
  takeOver("j1");
  runner.start();
  await waitMs(ROUNDS_MS);
  expect(listOwned()).toEqual([]);
  const attempts = lines.filter(({ event }) => event === "job-not-loaded");
  expect(attempts).toHaveLength(1);
  runner.stop();
});

// Guards against a claim that a late watch brings back after its removal was read.
test("a claim that was removed does not come back by a late watch", async () => {
  const { metadata, runner, showClaims, listOwned } = await startRunner(["j1"]);
  const read = await metadata.store.readKey(batchKeys.claim("j1"));
  await showClaims();
  metadata.remove(batchKeys.claim("j1"));
  runner.start();
  await waitMs(ROUNDS_MS);
  if (read.kind === "read" && read.item !== undefined) {
    runner.handleClaimEvent({ kind: "set", item: read.item });
  }
  await waitMs(ROUNDS_MS);
  expect(listOwned()).toEqual([]);
  runner.stop();
});

// Guards against a write of an earlier load of a job that is taken for one's own.
test("a write that takes effect after its job was loaded anew is seen", async () => {
  const {
    metadata,
    runner,
    showClaims,
    adoptRoutes,
    listResultIds,
    listOwned,
  } = await startRunner(["j1"], 2);
  const waitForCommits = async (count: number): Promise<void> => {
    await expect
      .poll(() => metadata.calls.commit, { interval: 1 })
      .toBeGreaterThanOrEqual(count);
  };
  const before = metadata.calls.commit ?? 0;
  await showClaims();
  metadata.setFaults({ lateCommits: 1 });
  adoptRoutes(1, [1]);
  runner.start();
  await waitForCommits(before + 1);
  metadata.setFaults({ isRefusing: true });
  await runner.releaseAll();
  adoptRoutes(2, [0]);
  metadata.setFaults({ isRefusing: false, lateCommits: 1 });
  runner.resumeClaims();
  await expect.poll(listOwned, { interval: 1 }).toEqual(["j1"]);
  await waitForCommits(before + 3);
  metadata.applyLateCommits();
  await expect.poll(() => listResultIds("j1")).toContain("j1-0");
  await waitMs(ROUNDS_MS);
  adoptRoutes(3, []);
  await expect.poll(() => listResultIds("j1")).toHaveLength(2);
  expect(await listResultIds("j1")).toEqual(["j1-0", "j1-1"]);
  runner.stop();
});

// Guards against items that take the places of those before them that can't be read.
test("an unreadable record of items moves no other item", async () => {
  const { metadata, runner, showClaims, adoptRoutes, listResultIds, takeOver } =
    await startRunner(["j1"], 3, BATCHES.CHUNK_BYTES);
  const key = batchKeys.chunk("j1", 0);
  const read = await metadata.store.readKey(key);
  const value = read.kind === "read" ? read.item?.value.toString() : undefined;
  metadata.writeRecord(key, "unreadable");
  await showClaims();
  adoptRoutes(1, []);
  runner.start();
  await expect.poll(() => listResultIds("j1")).toEqual(["j1-1", "j1-2"]);
  metadata.writeRecord(key, value ?? "");
  takeOver("j1", "");
  await showClaims();
  await waitMs(ROUNDS_MS);
  await showClaims();
  await expect
    .poll(() => listResultIds("j1"))
    .toEqual(["j1-1", "j1-2", "j1-0"]);
  runner.stop();
});
