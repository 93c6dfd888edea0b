import { expect, test } from "vitest";
import { decideBacklogAdmission } from "./decide_backlog_admission.ts";
import { estimateDrainMs } from "./estimate_drain_ms.ts";
import { updateBacklogDrain } from "./update_backlog_drain.ts";

const REQUEST = {
  tokens: 40,
  limit: 100,
  configRevision: 3,
  ledger: { bound: 50, accepted: 500, configRevision: 3 },
  measured: undefined,
};

test("a job that fits under the ledger's bound needs no measurement", () => {
  expect(decideBacklogAdmission(REQUEST)).toEqual({
    kind: "accept",
    ledger: { bound: 90, accepted: 540, configRevision: 3 },
  });
});

test("a job that fits exactly is accepted, one token more is not", () => {
  const measured = 60;
  expect(decideBacklogAdmission({ ...REQUEST, measured }).kind).toBe("accept");
  expect(decideBacklogAdmission({ ...REQUEST, measured: 61 })).toEqual({
    kind: "over",
    excess: 1,
  });
});

test("a job is not refused by a bound alone", () => {
  const ledger = { ...REQUEST.ledger, bound: 99 };
  expect(decideBacklogAdmission({ ...REQUEST, ledger }).kind).toBe("measure");
});

test("a bound of another configuration is measured anew", () => {
  const request = { ...REQUEST, configRevision: 4 };
  expect(decideBacklogAdmission(request).kind).toBe("measure");
  expect(decideBacklogAdmission({ ...request, ledger: undefined }).kind).toBe(
    "measure",
  );
});

test("a lowered limit refuses until the backlog has drained", () => {
  const lowered = { ...REQUEST, limit: 45 };
  expect(decideBacklogAdmission({ ...lowered, measured: 50 })).toEqual({
    kind: "over",
    excess: 45,
  });
  expect(decideBacklogAdmission({ ...lowered, measured: 5 }).kind).toBe(
    "accept",
  );
});

test("a job over the limit by itself is refused for good", () => {
  expect(decideBacklogAdmission({ ...REQUEST, tokens: 101 }).kind).toBe(
    "never",
  );
});

test("the wait follows from the measured drain", () => {
  const first = { atMs: 1_000, waiting: 900, accepted: 1_000 };
  const drain = updateBacklogDrain(undefined, first);
  const context = { waiting: 900, excess: 90, dueMs: 9_000 };
  expect(estimateDrainMs({ ...context, drain })).toBe(900);
  const later = { atMs: 3_000, waiting: 700, accepted: 1_200 };
  const measured = updateBacklogDrain(drain, later);
  expect(estimateDrainMs({ ...context, drain: measured })).toBe(450);
});

test("old samples don't slow the measured drain", () => {
  const samples = [
    { atMs: 0, waiting: 100, accepted: 100 },
    { atMs: 20_000, waiting: 100, accepted: 110 },
    { atMs: 21_000, waiting: 100, accepted: 210 },
  ];
  const drains = samples.reduce(
    (drain, sample) => updateBacklogDrain(drain, sample),
    updateBacklogDrain(undefined, { atMs: 0, waiting: 100, accepted: 100 }),
  );
  expect(drains.lastDrained - drains.firstDrained).toBe(100);
  expect(drains.lastMs - drains.firstMs).toBe(1_000);
});
