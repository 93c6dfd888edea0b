import { createQuota, type LoadMessage } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { LoadTracker } from "./load_tracker.ts";
import { QuotaTracker } from "./quota_tracker.ts";

const LIMIT = { ratePerSecond: 32, burst: 32 };
const TRIES = 10;
const NOW_MS = 10_000;

/** Counts what is admitted after a peer has told of its usage. */
function countAdmitted(askedPerSecond: number | undefined) {
  const tracker = new QuotaTracker({
    instanceId: "i1",
    load: new LoadTracker(() => 1_000),
    listSpenders: () => ["i1"],
    getTimeoutMs: () => 1_000,
    getLagMs: () => 1_000,
    createQuota: () => createQuota(NOW_MS, LIMIT.burst / 2),
  });
  let urgent = 0;
  tracker.onUrgentNews = () => {
    urgent += 1;
  };
  const from = { from: "i2", incarnation: "1", ageMs: 0 } as LoadMessage;
  const tell = (admitted: number) =>
    tracker.recordPeerUsage(
      from,
      { c: { admitted, tokens: 16, askedPerSecond } },
      NOW_MS,
    );
  tell(0);
  const taken = Array.from({ length: TRIES }, () =>
    tracker.take("c", LIMIT, NOW_MS),
  ).filter(({ kind }) => kind === "taken");
  tell(1);
  tell(2);
  return { admitted: taken.length, urgent };
}

test("an instance leaves tokens to peers that are asked for more than there are", () => {
  expect(countAdmitted(1_000).admitted).toBeLessThan(TRIES / 2);
});

test("a peer of an earlier build, or one that is asked little, takes nothing away", () => {
  expect(countAdmitted(undefined).admitted).toBe(TRIES);
  expect(countAdmitted(10).admitted).toBe(TRIES);
});

test("what was admitted beside peers is told once before the next interval", () => {
  expect(countAdmitted(10).urgent).toBe(1);
});
