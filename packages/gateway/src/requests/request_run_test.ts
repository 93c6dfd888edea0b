import type { ServerResponse } from "node:http";
import { expect, test } from "vitest";
import { runRequest } from "../testing/run_request.ts";
import { startUpstream } from "../testing/start_upstream.ts";

const STREAM = { "content-type": "text/event-stream", seal: "s1" };

function buildEvent(id: number): string {
  return `id: ${id}\ndata: text${id}\n\n`;
}

function streamEvents(res: ServerResponse, ids: readonly number[]): void {
  res.writeHead(200, STREAM);
  res.write(ids.map(buildEvent).join(""));
}

test("a stream is passed on with its head", async () => {
  const upstream = await startUpstream((_, res) => {
    streamEvents(res, [1, 2, 3]);
    res.end();
  });
  const { answer, ended } = runRequest({ addresses: [upstream.address] });
  expect(await ended).toBe("answered");
  expect(answer.headers).toContain("seal");
  expect(answer.body).toBe([1, 2, 3].map(buildEvent).join(""));
  expect(answer.end).toBe("whole");
  await upstream.close();
});

// Seen on ipacp trouble-1: a caller came back after its last event.
test("a stream without events keeps its head", async () => {
  const upstream = await startUpstream((_, res) => {
    res.writeHead(200, STREAM).end();
  });
  const run = { addresses: [upstream.address], lastEventId: 9 };
  const { answer, ended } = runRequest(run);
  expect(await ended).toBe("answered");
  expect(answer.headers).toContain("seal");
  expect(answer.end).toBe("whole");
  await upstream.close();
});

test("a stream cut inside an event goes on after the last whole one", async () => {
  const first = await startUpstream((_, res) => {
    res.writeHead(200, STREAM);
    res.write(`${buildEvent(1)}${buildEvent(2)}id: 3\nda`, () => res.destroy());
  });
  const second = await startUpstream((_, res) => {
    streamEvents(res, [3, 4]);
    res.end();
  });
  const addresses = [first.address, second.address];
  const { answer, ended } = runRequest({ addresses });
  expect(await ended).toBe("answered");
  expect(second.seen[0]?.["last-event"]).toBe("2");
  expect(answer.body).toBe([1, 2, 3, 4].map(buildEvent).join(""));
  await Promise.all([first.close(), second.close()]);
});

test("a stream that may not be resumed is broken off", async () => {
  const first = await startUpstream((_, res) => {
    res.writeHead(200, STREAM);
    res.write(buildEvent(1), () => res.destroy());
  });
  const second = await startUpstream((_, res) => res.end());
  const { answer, ended } = runRequest({
    addresses: [first.address, second.address],
    route: { isResumable: false, isIdempotent: false },
  });
  expect(await ended).toBe("broken-off");
  expect(answer.end).toBe("broken-off");
  expect(second.seen).toHaveLength(0);
  await Promise.all([first.close(), second.close()]);
});

test("what may have run is not run again, nor called not run", async () => {
  const first = await startUpstream((_, res) => res.destroy());
  const second = await startUpstream((_, res) => res.end());
  const { answer, ended } = runRequest({
    addresses: [first.address, second.address],
    route: { isResumable: false, isIdempotent: false },
  });
  expect(await ended).toBe("refused");
  expect(answer.status).toBe(502);
  expect(answer.run).toBe("may have run");
  expect(second.seen).toHaveLength(0);
  await Promise.all([first.close(), second.close()]);
});

test("what an upstream declines goes to another one", async () => {
  const first = await startUpstream((_, res) => {
    res.writeHead(503, { "not-run": "1" }).end();
  });
  const second = await startUpstream((_, res) => {
    streamEvents(res, [1]);
    res.end();
  });
  const { answer, ended } = runRequest({
    addresses: [first.address, second.address],
    route: { isResumable: false, isIdempotent: false, maxAttempts: 1 },
  });
  expect(await ended).toBe("answered");
  expect(answer.body).toBe(buildEvent(1));
  await Promise.all([first.close(), second.close()]);
});

test("a silent upstream is left in time", async () => {
  const first = await startUpstream(() => undefined);
  const second = await startUpstream((_, res) => {
    streamEvents(res, [1]);
    res.end();
  });
  const addresses = [first.address, second.address];
  const { answer, ended } = runRequest({ addresses });
  expect(await ended).toBe("answered");
  expect(answer.body).toBe(buildEvent(1));
  await Promise.all([first.close(), second.close()]);
});

test("events out of order are not passed on", async () => {
  const first = await startUpstream((_, res) => {
    streamEvents(res, [1, 2, 4]);
  });
  const second = await startUpstream((_, res) => {
    streamEvents(res, [3]);
    res.end();
  });
  const addresses = [first.address, second.address];
  const { answer, ended } = runRequest({ addresses });
  expect(await ended).toBe("answered");
  expect(answer.body).toBe([1, 2, 3].map(buildEvent).join(""));
  await Promise.all([first.close(), second.close()]);
});

test("an answer to another request is not passed on", async () => {
  const first = await startUpstream((_, res) => {
    res.writeHead(200, { ...STREAM, "request-id": "r0" });
    res.end(buildEvent(7));
  });
  const second = await startUpstream((_, res) => {
    streamEvents(res, [1]);
    res.end();
  });
  const addresses = [first.address, second.address];
  const { answer, ended } = runRequest({ addresses });
  expect(await ended).toBe("answered");
  expect(answer.body).toBe(buildEvent(1));
  await Promise.all([first.close(), second.close()]);
});

test("a caller that leaves stops the work", async () => {
  let onClosed: () => void = () => undefined;
  const closed = new Promise<void>((resolve) => {
    onClosed = resolve;
  });
  let onBegun: () => void = () => undefined;
  const begun = new Promise<void>((resolve) => {
    onBegun = resolve;
  });
  const upstream = await startUpstream((_, res) => {
    streamEvents(res, [1]);
    res.on("close", () => onClosed());
    onBegun();
  });
  const run = runRequest({ addresses: [upstream.address] });
  await begun;
  run.leave();
  expect(await run.ended).toBe("caller-left");
  await closed;
  await upstream.close();
});

test("without any upstream the caller is told at once", async () => {
  const { answer, ended } = runRequest({ addresses: [] });
  expect(await ended).toBe("refused");
  expect(answer.status).toBe(503);
  expect(answer.run).toBe("not run");
});

test("a busy upstream is awaited as long again", async () => {
  const first = await startUpstream((_, res) => {
    setTimeout(() => {
      streamEvents(res, [1]);
      res.end();
    }, 800);
  });
  const second = await startUpstream((_, res) => res.end());
  // Its head is awaited 600 ms, and as long again.
  const run = runRequest({
    addresses: [first.address, second.address],
    route: { objectiveMs: 1_200 },
  });
  setTimeout(() => run.view.load.noteSign("u0", performance.now()), 100);
  expect(await run.ended).toBe("answered");
  expect(run.answer.body).toBe(buildEvent(1));
  expect(second.seen).toHaveLength(0);
  await Promise.all([first.close(), second.close()]);
});
