import { backlogKeys, batchKeys } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { JOB_ROUTE } from "../testing/job_route.ts";
import {
  type SubmitAnswer,
  startAcceptors,
} from "../testing/start_acceptors.ts";

const OWNER = {
  customer: "t1",
  host: JOB_ROUTE.host,
  prefix: JOB_ROUTE.prefix,
};

function countStatus(answers: readonly SubmitAnswer[], status: number): number {
  return answers.filter((answer) => answer.status === status).length;
}

test.each([6, 60])(
  "%i instances that accept at once keep the limit; another customer notices nothing",
  async (count) => {
    const { submit, measure } = startAcceptors({ count, limit: 300 });
    const instances = Array.from({ length: count * 10 }, (_, n) => n % count);
    const [greedy, other] = await Promise.all([
      Promise.all(
        instances.map((instance, n) => submit({ id: `g${n}`, instance })),
      ),
      Promise.all(
        instances
          .slice(0, 30)
          .map((instance, n) =>
            submit({ id: `o${n}`, instance, customer: "t2" }),
          ),
      ),
    ]);
    expect(countStatus(greedy, 202)).toBe(30);
    expect(countStatus(greedy, 429)).toBe(count * 10 - 30);
    expect(await measure()).toBe(300);
    expect(countStatus(other, 202)).toBe(30);
  },
);

test("a refused job was not run and says when to come back", async () => {
  const { submit } = startAcceptors({ count: 1, limit: 10 });
  await submit({ id: "a" });
  const { status, fault } = await submit({ id: "b" });
  expect(status).toBe(429);
  expect(fault).toMatchObject({ code: "backlog_full", run: "not run" });
  expect(fault?.retryAfterMs).toBeGreaterThan(0);
});

test("a job larger than the limit gets no time to come back", async () => {
  const { submit } = startAcceptors({ count: 1, limit: 10 });
  const answer = await submit({ id: "a", itemTokens: [5, 6] });
  expect(answer.status).toBe(429);
  expect(answer.fault).toMatchObject({ code: "over_backlog_limit" });
  expect(answer.fault?.retryAfterMs).toBeUndefined();
});

test("a resent job is accepted again though the backlog is full", async () => {
  const { submit, measure } = startAcceptors({ count: 2, limit: 10 });
  expect((await submit({ id: "a" })).status).toBe(202);
  expect((await submit({ id: "a", instance: 1 })).status).toBe(202);
  expect((await submit({ id: "a" })).status).toBe(202);
  expect(await measure()).toBe(10);
});

test("a job whose commit went unanswered counts once", async () => {
  const { submit, measure, metadata } = startAcceptors({ count: 1, limit: 20 });
  metadata.setFaults({ lostCommits: 1 });
  expect((await submit({ id: "a" })).status).toBe(202);
  expect(await measure()).toBe(10);
  expect((await submit({ id: "b" })).status).toBe(202);
});

test("a job whose backlog can not be read is refused as not run", async () => {
  const { submit, metadata } = startAcceptors({ count: 1, limit: 10 });
  metadata.setFaults({ isDown: true });
  const { status, fault } = await submit({ id: "a" });
  expect(status).toBe(503);
  expect(fault?.run).toBe("not run");
});

test("stale reads of the ledger let no job over the limit", async () => {
  const { submit, measure, metadata } = startAcceptors({ count: 3, limit: 30 });
  metadata.setFaults({ isReadStale: true });
  const answers = await Promise.all(
    [0, 1, 2, 0, 1, 2].map((instance, n) => submit({ id: `j${n}`, instance })),
  );
  expect(countStatus(answers, 202)).toBe(3);
  expect(await measure()).toBe(30);
});

test("what has completed or ended makes room at once", async () => {
  const { submit, metadata } = startAcceptors({ count: 2, limit: 20 });
  await submit({ id: "a", itemTokens: [20] });
  expect((await submit({ id: "b" })).status).toBe(429);
  const key = backlogKeys.openJob(OWNER, "a");
  metadata.writeRecord(key, JSON.stringify({ tokens: 10 }));
  expect((await submit({ id: "c", instance: 1 })).status).toBe(202);
  metadata.remove(key);
  expect((await submit({ id: "d", instance: 1 })).status).toBe(202);
});

test("jobs accepted without a limit count once there is one", async () => {
  const { submit } = startAcceptors({ count: 1, limit: 20 });
  await submit({ id: "a", itemTokens: [15], limit: 0, configRevision: 1 });
  const late = { id: "b", configRevision: 2 };
  expect((await submit(late)).status).toBe(429);
});

test("a limit that was lifted for a while counts what came meanwhile", async () => {
  const { submit } = startAcceptors({ count: 1, limit: 30 });
  await submit({ id: "a", configRevision: 1 });
  await submit({ id: "b", itemTokens: [25], limit: 0, configRevision: 2 });
  expect((await submit({ id: "c", configRevision: 3 })).status).toBe(429);
});

test("a route without a limit writes no ledger", async () => {
  const { submit, metadata } = startAcceptors({ count: 1, limit: 0 });
  await submit({ id: "a" });
  const ledger = await metadata.store.readKey(backlogKeys.ledger(OWNER));
  expect(ledger).toMatchObject({ item: undefined });
  expect(await metadata.store.readKey(batchKeys.job("a"))).toHaveProperty(
    "item.key",
  );
});
