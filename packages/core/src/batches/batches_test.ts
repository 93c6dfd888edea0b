import { expect, test } from "vitest";
import { BATCHES } from "./constants.ts";
import { decideItemStep } from "./decide_item_step.ts";
import { shouldClaimJob } from "./should_claim_job.ts";
import { splitChunks } from "./split_chunks.ts";

const workers = ["w1", "w2", "w3"].map((id) => ({ id, incarnation: "1" }));
const unowned = { owner: "", incarnation: "", dueAtMs: 0 };

test("one worker claims an unowned job immediately, the others later in turn", () => {
  const waits = workers.map((self) =>
    [0, 1, 2, 3].findIndex((step) =>
      shouldClaimJob(
        "j1",
        unowned,
        self,
        workers,
        step * BATCHES.CLAIM_RANK_DELAY_MS,
      ),
    ),
  );
  expect([...waits].sort()).toEqual([0, 1, 2]);
});

test("a job whose owner is running is not claimed", () => {
  const claim = { ...unowned, owner: "w1", incarnation: "1" };
  const claims = workers.map((self) =>
    shouldClaimJob("j1", claim, self, workers, 60_000),
  );
  expect(claims).toEqual([false, false, false]);
});

test("an owner that restarted no longer owns its job", () => {
  const claim = { ...unowned, owner: "w1", incarnation: "0" };
  const claims = workers.map((self) =>
    shouldClaimJob("j1", claim, self, workers, 60_000),
  );
  expect(claims).toContain(true);
});

test("an owner whose lease has just lapsed has time to register again", () => {
  const claim = { ...unowned, owner: "w9", incarnation: "1" };
  const claims = workers.map((self) =>
    shouldClaimJob("j1", claim, self, workers, BATCHES.OWNER_GRACE_MS - 1),
  );
  expect(claims).toEqual([false, false, false]);
});

test.each([
  ["completed", { kind: "completed" }, 0, "list-completed"],
  ["unprocessable", { kind: "status", status: 422 }, 0, "list-errored"],
  ["first failure", { kind: "status", status: 500 }, 0, "run-again"],
  ["last failure", { kind: "status", status: 500 }, 2, "list-errored"],
  ["other status", { kind: "status", status: 502 }, 2, "run-again"],
  ["interrupted", { kind: "interrupted" }, 2, "run-again"],
] as const)("an item: %s", (_, end, failures, expected) => {
  expect(decideItemStep(end, failures, 3).kind).toBe(expected);
});

test("chunks keep the item order and fit into a record", () => {
  const items = Array.from({ length: 50 }, (_, index) => ({
    id: `${index}`,
    path: "/p",
    headers: {},
    body: "x".repeat(40_000),
    tokens: 1,
  }));
  const chunks = splitChunks(items);
  expect(chunks.flat()).toEqual(items);
  const sizes = chunks.map((chunk) => JSON.stringify(chunk).length);
  expect(Math.max(...sizes)).toBeLessThan(BATCHES.CHUNK_BYTES * 1.1);
});
