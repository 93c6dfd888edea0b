import { connect, type Socket } from "node:net";
import { CALL_SHAPES, type Route } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createEntry } from "../testing/create_entry.ts";
import { createView } from "../testing/create_view.ts";
import { JOB_ROUTE } from "../testing/job_route.ts";
import { startListener } from "../testing/start_listener.ts";
import { startUpstream } from "../testing/start_upstream.ts";

const HOST = "127.0.0.1";
const STREAM_MS = 200;
const SLOW_MS = 400;
const EVENT = "id: 1\ndata: a\n\n";
const SERVICE = "s";

function buildRoute(path: string, fields: Partial<Route> = {}): Route {
  return {
    ...JOB_ROUTE,
    name: path,
    prefix: path,
    shape: CALL_SHAPES.plain,
    isIdempotent: false,
    isPublic: true,
    targets: [{ service: SERVICE, weight: 1 }],
    timeoutMs: 5_000,
    ...fields,
  };
}

const ROUTES = [
  buildRoute("/stream/", { shape: CALL_SHAPES.stream }),
  buildRoute("/slow/"),
  buildRoute("/short/", { timeoutMs: 300 }),
];

async function startServing() {
  const upstream = await startUpstream((req, res) => {
    if (req.url?.startsWith("/stream/") === true) {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.write(EVENT);
      setTimeout(() => res.end(), STREAM_MS);
    } else {
      const tookMs = req.url?.startsWith("/slow/") === true ? SLOW_MS : 0;
      setTimeout(() => res.writeHead(200).end("text"), tookMs);
    }
  });
  const view = createView();
  const limits = {
    headerBytes: 10_000,
    bodyBytes: 10_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 5_000,
  };
  view.adoptConfig({
    revision: 1,
    routes: ROUTES,
    services: [],
    customers: [],
    limits,
  });
  const { address } = upstream;
  view.directory.set(createEntry({ service: SERVICE, address }));
  const { listener, port } = await startListener(view);
  listener.applyLimits();
  /** Begins a stop whose notice is over, with this much time left. */
  const beginLateStop = (leftMs: number): void => {
    const nowMs = view.readNowMs();
    listener.startDraining({ noticeEndMs: nowMs, endMs: nowMs + leftMs });
  };
  const close = async (): Promise<void> => {
    listener.stop();
    await upstream.close();
  };
  return { listener, upstream, port, beginLateStop, close };
}

function writeRequest(socket: Socket, path: string): void {
  socket.write(`POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n`);
}

/** Collects what comes on a connection. */
function collectBytes(socket: Socket) {
  const state = { text: "", isClosed: false };
  socket.on("data", (bytes) => {
    state.text += bytes.toString();
  });
  socket.once("close", () => {
    state.isClosed = true;
  });
  return state;
}

// Guards against requests taken on a kept connection late in the grace, whose
// stream had begun before the stop, and cut at the end of it.
test("a stream that began before a stop is finished, then its connection closed", async () => {
  const { port, listener, beginLateStop, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  writeRequest(socket, "/stream/x");
  await expect.poll(() => got.text).toContain("data: a");
  beginLateStop(1_000);
  await expect.poll(() => got.isClosed).toBe(true);
  expect(got.text.endsWith("0\r\n\r\n")).toBe(true);
  expect(listener.countInFlight()).toBe(0);
  await close();
});

// Guards against a request that is passed on though what is left of the grace is
// shorter than it may take.
test("a request that may outlast the stop is refused as not run", async () => {
  const { port, upstream, beginLateStop, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  beginLateStop(1_000);
  writeRequest(socket, "/slow/x");
  await expect.poll(() => got.isClosed).toBe(true);
  expect(got.text).toMatch(/^HTTP\/1.1 503 /);
  expect(got.text).toContain("not run");
  expect(upstream.seen).toHaveLength(0);
  await close();
});

// Guards against refusals of what could still be finished.
test("a request that ends before the stop does is served", async () => {
  const { port, beginLateStop, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  beginLateStop(1_000);
  writeRequest(socket, "/short/x");
  await expect.poll(() => got.isClosed).toBe(true);
  expect(got.text).toMatch(/^HTTP\/1.1 200 /);
  await close();
});

// Guards against connections that end without an answer at the end of the grace.
test("a request in flight at the end of a stop gets an answer", async () => {
  const { port, listener, close } = await startServing();
  const socket = connect(port, HOST);
  const got = collectBytes(socket);
  writeRequest(socket, "/slow/x");
  await expect.poll(() => listener.countInFlight()).toBe(1);
  listener.expireAll();
  await expect.poll(() => got.text).toMatch(/^HTTP\/1.1 504 /);
  expect(got.text).toContain("may have run");
  await close();
});
