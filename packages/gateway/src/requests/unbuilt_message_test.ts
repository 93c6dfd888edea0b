import { ITEM_RESULTS } from "@gooseberryline/core";
import { expect, test } from "vitest";
import type { CallDialect, UpstreamHeaderFields } from "../dialect/types.ts";
import { createItemPool } from "../testing/create_item_pool.ts";
import { plainDialect } from "../testing/plain_dialect.ts";
import { runRequest } from "../testing/run_request.ts";
import { startUpstream } from "../testing/start_upstream.ts";
import { waitMs } from "../wait_ms.ts";

type Break = (headers: Record<string, string>) => Record<string, string>;

const BREAKS: readonly (readonly [name: string, step: Break])[] = [
  [
    "an exception where headers are built",
    () => {
      throw new Error("a fault");
    },
  ],
  ["a value that no header holds", () => ({ "x-a": "\u4e2d" })],
  ["a line break in a value", () => ({ "x-a": "1\r\nx-b: 2" })],
  ["a name that no header has", () => ({ "x a": "1" })],
  ["an empty name", () => ({ "": "1" })],
];

/** Fails the messages to some upstreams. */
function failMessages(
  step: Break,
  isFailed: (upstreamId: string) => boolean,
): CallDialect {
  return {
    ...plainDialect,
    buildHeaders: (headers, fields: UpstreamHeaderFields) => {
      const built = plainDialect.buildHeaders(headers, fields);
      return isFailed(fields.upstreamId) ? step(built) : built;
    },
  };
}

/** Fails the reading of the first answer. */
function failFirstAnswer(): CallDialect {
  const state = { answers: 0 };
  return {
    ...plainDialect,
    readResponseHead: (headers) => {
      state.answers += 1;
      if (state.answers === 1) {
        throw new Error("a fault");
      }
      return plainDialect.readResponseHead(headers);
    },
  };
}

function startStreams() {
  return startUpstream((req, res) => {
    const id = req.headers["request-id"];
    res.writeHead(200, {
      "request-id": id,
      "content-type": "text/event-stream",
    });
    res.end("id: 1\ndata: a\n\n");
  });
}

const DIALECTS = [
  ...BREAKS.map(
    ([name, step]) =>
      [name, () => failMessages(step, (id) => id === "u0")] as const,
  ),
  ["an exception where an answer is read", failFirstAnswer] as const,
];

test.each(DIALECTS)("a request goes on after %s", async (_, create) => {
  const upstreams = [await startStreams(), await startStreams()];
  const addresses = upstreams.map(({ address }) => address);
  const run = runRequest({ addresses, dialect: create() });
  await run.ended;
  expect(run.answer).toMatchObject({ status: 200, end: "whole" });
  ["u0", "u1"].forEach((id) => {
    expect(run.view.load.countOwnInFlight(id)).toEqual({ online: 0, batch: 0 });
  });
  await Promise.all(upstreams.map(({ close }) => close()));
});

test.each(BREAKS)("%s is no failure of the upstream", async (_, step) => {
  const upstream = await startStreams();
  const dialect = failMessages(step, () => true);
  const run = runRequest({ addresses: [upstream.address], dialect });
  await run.ended;
  expect(run.answer).toMatchObject({ status: 503, run: "not run" });
  const { load } = run.view;
  expect(load.countOwnInFlight("u0")).toEqual({ online: 0, batch: 0 });
  expect(load.listSuspects(run.view.readNowMs())).toEqual([]);
  await upstream.close();
});

// Guards against an exception of a send that lost the item and its slot.
test.each(DIALECTS)("an item and its slot outlive %s", async (_, create) => {
  const upstreams = [await startStreams(), await startStreams()];
  const pool = createItemPool(0, upstreams, 1, create());
  await pool.waitForResult();
  const state = ITEM_RESULTS.completed;
  expect(pool.results).toMatchObject([{ state, text: "a" }]);
  expect(pool.countRunning()).toBe(0);
  ["u0", "u1"].forEach((id) => {
    expect(pool.view.load.countOwnInFlight(id)).toEqual({
      online: 0,
      batch: 0,
    });
  });
  await Promise.all(upstreams.map(({ close }) => close()));
});

test("an item that is never built waits until it may be given up", async () => {
  const [, step] = BREAKS[1] ?? ["", () => ({})];
  const upstream = await startStreams();
  const dialect = failMessages(step, () => true);
  const young = createItemPool(0, [upstream], 1, dialect);
  const old = createItemPool(3_600_000, [upstream], 1, dialect);
  await old.waitForResult();
  young.step();
  await waitMs(50);
  expect(old.results).toMatchObject([{ state: ITEM_RESULTS.errored }]);
  expect(young.results).toEqual([]);
  expect(young.countRunning()).toBe(0);
  expect(young.view.load.waitingItems).toBe(0);
  young.step();
  expect(young.view.load.waitingItems).toBe(1);
  expect(upstream.seen).toEqual([]);
  await upstream.close();
});
