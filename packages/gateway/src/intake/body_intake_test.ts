import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { expect, test } from "vitest";
import { ByteBudget } from "./byte_budget.ts";
import { RequestIntake } from "./request_intake.ts";

const ANNOUNCED = 12_000;
const IDLE_MS = 2_000;

function start(name = "Content-Length") {
  const state = { isPaused: false };
  const req = Object.assign(new PassThrough(), {
    headers: { "content-length": `${ANNOUNCED}` },
    rawHeaders: [name, `${ANNOUNCED}`],
    socket: { isPaused: () => state.isPaused },
  });
  const budget = new ByteBudget(1_000_000);
  const intake = new RequestIntake(req as unknown as IncomingMessage, budget, {
    maxBytes: ANNOUNCED,
    isFirst: true,
  });
  intake.beginTurn();
  const sweep = (atMs: number): void => budget.sweep(atMs, IDLE_MS);
  return { state, req, intake, sweep, budget };
}

test("a body that comes slowly but steadily is read", async () => {
  const { req, intake, sweep } = start();
  [1, 2, 3, 4, 5].forEach((second) => {
    req.emit("data", Buffer.alloc(200));
    sweep(second * 1_000);
  });
  req.emit("end");
  expect((await intake.read()).kind).toBe("read");
});

test("a body that stands still is not waited for", async () => {
  const { intake, sweep } = start();
  [1, 2, 3].forEach((second) => {
    sweep(second * 1_000);
  });
  expect((await intake.read()).kind).toBe("stalled");
});

test("neither a paused connection nor a pause of the process counts", () => {
  const { state, intake, sweep } = start();
  state.isPaused = true;
  [1, 2, 3, 4].forEach((second) => {
    sweep(second * 1_000);
  });
  state.isPaused = false;
  sweep(60_000);
  expect(intake.isSettled).toBe(false);
});

test("a long head counts with its length", () => {
  const { budget, intake } = start("a".repeat(100_000));
  expect(budget.total).toBeGreaterThan(100_000);
  intake.end();
  expect(budget.total).toBe(0);
});
