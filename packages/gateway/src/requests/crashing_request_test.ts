import { CRASHES, type PromptBlock } from "@gooseberryline/core";
import { expect, test, vi } from "vitest";
import { RequestKey } from "../crashes/request_key.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { createView } from "../testing/create_view.ts";
import { runRequest } from "../testing/run_request.ts";
import {
  type RawUpstream,
  startRawUpstream,
} from "../testing/start_raw_upstream.ts";
import { startUpstream } from "../testing/start_upstream.ts";
import { waitMs } from "../wait_ms.ts";

const STREAM = { "content-type": "text/event-stream" };
const NO_BLOCKS = { blocks: [], inForce: [] };
const EVENT = "id: 1\ndata: text\n\n";

/** Starts an upstream that ends as it begins to answer. */
async function startCrashing() {
  const upstream = await startUpstream((_, res) => {
    res.writeHead(200, STREAM).flushHeaders();
    setTimeout(() => void upstream.close(), 5);
  });
  return upstream;
}

/** Starts one that ends before it answers. */
async function startFalling() {
  const upstream = await startUpstream(() => {
    setTimeout(() => void upstream.close(), 5);
  });
  return upstream;
}

/** Starts one that ends after an event of its answer. */
async function startStopping() {
  const upstream = await startUpstream((req, res) => {
    const id = Number(req.headers["last-event"] ?? 0) + 1;
    res.writeHead(200, STREAM).write(`id: ${id}\ndata: text\n\n`);
    setTimeout(() => void upstream.close(), 10);
  });
  return upstream;
}

/** Starts one that ends its connections in order as it crashes. */
async function startEnding(): Promise<RawUpstream> {
  const upstream = await startRawUpstream((socket) => {
    upstream.stopListening();
    socket.end(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n`);
  });
  return upstream;
}

async function startSound() {
  return await startUpstream((_, res) => {
    res.writeHead(200, STREAM).end(EVENT);
  });
}

/**
 * Runs a request with an upstream that crashes as it begins to answer, and a
 * sound one. `round` tells their processes from those of other rounds;
 * `isSeenByPeer` says whether a peer finds the first one down, too.
 */
async function runCrashing(
  view: FleetView,
  round: number,
  promptParts: readonly string[],
  isSeenByPeer = true,
  body = `prompt ${round}`,
) {
  const first = await startCrashing();
  const second = await startSound();
  const addresses = [first.address, second.address];
  const idPrefix = `u${round}-`;
  const run = runRequest({ addresses, view, promptParts, idPrefix, body });
  await run.ended;
  const seen = [first.seen.length, second.seen.length];
  if (isSeenByPeer && seen[0] === 1) {
    const report = { upstreamId: `${idPrefix}0`, ageMs: 0, suspects: [] };
    const crashes = [{ ...report, downAt: ["i2"], reachedAt: [] }];
    view.crashes.recordPeerNews({ crashes, soundAges: {}, ...NO_BLOCKS });
    await waitMs(CRASHES.SETTLE_MS);
    view.crashes.review();
  }
  await Promise.all([first.close(), second.close()]);
  addresses.forEach((_, index) => {
    view.directory.remove(`${idPrefix}${index}`, performance.now());
  });
  return { answer: run.answer, seen };
}

test("a request that crashed its upstream is not sent to another", async () => {
  const { answer, seen } = await runCrashing(createView(), 0, ["a", "x"]);
  expect(seen).toEqual([1, 0]);
  expect(answer.status).toBe(502);
  expect(answer.run).toBe("may have run");
});

test("a request is refused once its part has crashed three upstreams", async () => {
  const view = createView();
  await runCrashing(view, 1, ["a", "x"]);
  await runCrashing(view, 2, ["b", "x"]);
  await runCrashing(view, 3, ["a", "x"]);
  const { answer, seen } = await runCrashing(view, 4, ["c", "x"]);
  expect(seen).toEqual([0, 0]);
  expect(answer.status).toBe(400);
  expect(answer.run).toBe("not run");
});

test("a request without parts is refused once it has crashed three upstreams", async () => {
  const view = createView();
  await runCrashing(view, 1, [], true, "same");
  await runCrashing(view, 2, [], true, "same");
  await runCrashing(view, 3, [], true, "same");
  const { answer, seen } = await runCrashing(view, 4, [], true, "same");
  expect(seen).toEqual([0, 0]);
  expect(answer.status).toBe(400);
  const other = await runCrashing(view, 5, [], true, "other");
  expect(other.seen).toEqual([1, 0]);
});

test("a request that crashes upstreams before their head is tried twice at most", async () => {
  const upstreams = await Promise.all([1, 2, 3].map(() => startFalling()));
  const addresses = upstreams.map(({ address }) => address);
  const run = runRequest({ addresses, route: { maxAttempts: 3 } });
  await run.ended;
  expect(upstreams.flatMap(({ seen }) => seen)).toHaveLength(2);
  expect(run.answer.run).toBe("may have run");
  await Promise.all(upstreams.map((upstream) => upstream.close()));
});

test("cut paths to three upstreams are not taken for crashes", async () => {
  const view = createView();
  await runCrashing(view, 1, ["a", "x"], false);
  await runCrashing(view, 2, ["b", "x"], false);
  await runCrashing(view, 3, ["a", "x"], false);
  await waitMs(CRASHES.SETTLE_MS);
  view.crashes.review();
  const sound = await startSound();
  const addresses = [sound.address];
  const run = runRequest({ addresses, view, promptParts: ["c", "x"] });
  expect(await run.ended).toBe("answered");
  await sound.close();
});

test("a stream that crashes upstreams in mid-answer is resumed once only", async () => {
  const upstreams = await Promise.all([0, 1, 2].map(startStopping));
  const addresses = upstreams.map(({ address }) => address);
  const run = runRequest({ addresses, route: { maxAttempts: 3 } });
  expect(await run.ended).toBe("broken-off");
  expect(upstreams.flatMap(({ seen }) => seen)).toHaveLength(2);
  expect(run.answer.end).toBe("broken-off");
  const [crash] = run.view.crashes.buildNews()?.crashes ?? [];
  expect(crash?.suspects.map(({ hasBegun }) => hasBegun)).toEqual([true]);
  await Promise.all(upstreams.map((upstream) => upstream.close()));
});

test("a sound request beside one that crashes upstreams is sent to another", async () => {
  const first = await startUpstream((_, res) => {
    res.writeHead(200, STREAM).write("id: 0\ndata: text\n\n");
    setTimeout(() => void first.close(), 20);
  });
  const second = await startSound();
  const addresses = [first.address, second.address];
  const run = runRequest({ addresses, promptParts: ["a", "y"] });
  expect(await run.ended).toBe("answered");
  expect(second.seen).toHaveLength(1);
  await vi.waitFor(() => {
    const { crashes = [], soundAges } = run.view.crashes.buildNews() ?? {};
    const suspects = crashes.flatMap((crash) => crash.suspects);
    expect(suspects.map(({ parts }) => parts)).toEqual([[]]);
    expect(soundAges).toHaveProperty(suspects[0]?.request ?? "");
  });
  await second.close();
});

test("a broken connection to an upstream that lives speaks against no part", async () => {
  const first = await startUpstream((_, res) => {
    res.writeHead(200, STREAM).flushHeaders();
    setTimeout(() => res.destroy(), 5);
  });
  const second = await startSound();
  const addresses = [first.address, second.address];
  const run = runRequest({ addresses, promptParts: ["a", "y"] });
  expect(await run.ended).toBe("answered");
  expect(run.view.crashes.buildNews()).toBeUndefined();
  await Promise.all([first.close(), second.close()]);
});

test("a block stops the requests under way that it holds for", async () => {
  const upstream = await startUpstream(() => undefined);
  const addresses = [upstream.address];
  const run = runRequest({ addresses, promptParts: ["a", "x"] });
  const block: PromptBlock = {
    kind: "prompt",
    parts: ["x"],
    customers: ["", "c2"],
    upstreams: [],
  };
  setTimeout(() => run.view.crashes.addBlock(block, "peer"), 20);
  expect(await run.ended).toBe("refused");
  expect(run.answer.status).toBe(400);
  expect(run.answer.run).toBe("may have run");
  await upstream.close();
});

test("a crash that ends the connection in order speaks against a part, too", async () => {
  const first = await startEnding();
  const second = await startSound();
  const addresses = [first.address, second.address];
  const run = runRequest({ addresses, promptParts: ["a", "x"] });
  await run.ended;
  expect(run.answer.status).toBe(502);
  expect(run.view.crashes.buildNews()?.crashes).toHaveLength(1);
  await second.close();
});

test("an answer that ends with its connection does not clear a request", async () => {
  const type = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  const key = new RequestKey({
    method: "POST",
    path: "/x",
    customer: "",
    body: Buffer.from("prompt"),
  });
  const progress = { hasHead: false, hasBegun: true };
  const suspect = { request: key.full, parts: [], customer: "", ...progress };
  const countAfter = async (answer: string): Promise<number> => {
    const upstream = await startRawUpstream((socket) => socket.end(answer));
    const view = createView();
    view.crashes.recordDown("u9", performance.now(), [suspect]);
    const run = runRequest({ addresses: [upstream.address], view });
    expect(await run.ended).toBe("answered");
    await upstream.close();
    return view.crashes.countCrashesUnder(key);
  };
  const length = `Content-Length: ${EVENT.length}\r\n`;
  expect(await countAfter(`${type}\r\n${EVENT}`)).toBe(1);
  expect(await countAfter(`${type}${length}\r\n${EVENT}`)).toBe(0);
});
