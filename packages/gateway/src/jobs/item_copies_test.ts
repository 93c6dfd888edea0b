import type { Socket } from "node:net";
import { ITEM_RESULTS } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createItemPool } from "../testing/create_item_pool.ts";
import { JOB_ROUTE } from "../testing/job_route.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

const BODY = "id: 1\ndata: a\n\n";
const OUTPUT = `HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nContent-Type: text/event-stream\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`;
const { maxAttempts } = JOB_ROUTE;
/** Answers that an item may get which fails at each run. */
const MOST_RUNS = 3 * maxAttempts;

function buildFailure(status: string): string {
  return `HTTP/1.1 ${status}\r\nRequest-Id: i1\r\nContent-Length: 0\r\n\r\n`;
}

type UpstreamPlay = {
  readonly status: string;
  /** Whether a run, counted from 1, fails with that status. */
  readonly isFailing: (run: number) => boolean;
  /** Whether a connection's first answer comes once more before each other. */
  readonly isCopying: boolean;
};

/** Runs an item at one upstream; returns its results and the runs that came. */
async function runItem({ status, isFailing, isCopying }: UpstreamPlay) {
  const sent = new Map<Socket, string>();
  const upstream = await startRawUpstream((socket, count) => {
    const first = sent.get(socket);
    if (first !== undefined && isCopying) {
      socket.write(first);
    }
    const answer = isFailing(count) ? buildFailure(status) : OUTPUT;
    sent.set(socket, first ?? answer);
    setTimeout(() => socket.write(answer), first === undefined ? 0 : 15);
  });
  const { results, waitForResult } = createItemPool(1_000, [upstream]);
  await waitForResult();
  await upstream.close();
  return { results, runs: upstream.countRequests() };
}

const STATUSES = ["500 Error", "504 Late", "503 Full\r\nNot-Run: 1"];

// Guards against an item errored by a second copy of a failure that had counted.
test.each(STATUSES)(
  "an item that fails twice with %s, each time written twice, is completed",
  async (status) => {
    const isFailing = (run: number): boolean => run === 1 || run === 3;
    const play = { status, isFailing, isCopying: true };
    const { results, runs } = await runItem(play);
    const state = ITEM_RESULTS.completed;
    expect(results).toMatchObject([{ state, text: "a" }]);
    expect(runs).toBeLessThanOrEqual(MOST_RUNS);
  },
);

// Guards against a mend that hears no honest failure, so that an item never ends.
test.each([false, true])(
  "an item that fails at each run of its only upstream is errored by the last (copies: %s)",
  async (isCopying) => {
    const status = "500 Error";
    const play = { status, isFailing: () => true, isCopying };
    const { results, runs } = await runItem(play);
    expect(results).toMatchObject([{ state: ITEM_RESULTS.errored }]);
    expect(runs).toBe(maxAttempts);
  },
);

test("an item that can't be processed is errored by its first run", async () => {
  const status = "422 No";
  const play = { status, isFailing: () => true, isCopying: false };
  const { results, runs } = await runItem(play);
  expect(results).toMatchObject([{ state: ITEM_RESULTS.errored }]);
  expect(runs).toBe(1);
});
