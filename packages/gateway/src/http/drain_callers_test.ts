import { connect } from "node:net";
import { expect, test } from "vitest";
import { SHUTDOWN_TIMES } from "../shutdown_times.ts";
import { sendAtOnce } from "../testing/send_at_once.ts";
import { startServing } from "../testing/start_serving.ts";
import { drainCallers } from "./drain_callers.ts";

const HOST = "127.0.0.1";
const CALLERS = 24;
const PATHS = ["/stream/x", "/slow/x", "/quick/x"];
/** Between the callers' first requests, so that all moments of a call are met. */
const APART_MS = 17;

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

// Guards against requests that are passed on from a connection which has been ended,
// or cut at the end of a stop.
test.each([
  { name: "ample", graceMs: 8_000 },
  { name: "short", graceMs: SHUTDOWN_TIMES.LINGER_MS + 200 },
])(
  "callers that send again at once lose no request in a stop with $name time",
  async ({ graceMs }) => {
    const { view, listener, upstream, port, close } = await startServing();
    const state = { stopMs: Number.POSITIVE_INFINITY };
    // The platform opens no connection once it knows of the stop.
    const mayConnect = (): boolean =>
      view.readNowMs() < state.stopMs + SHUTDOWN_TIMES.NOTICE_MS;
    const callers = Array.from({ length: CALLERS }, async (_, index) => {
      await wait(index * APART_MS);
      const paths = [...PATHS.slice(index % 3), ...PATHS.slice(0, index % 3)];
      return sendAtOnce(port, paths, mayConnect);
    });
    await wait(CALLERS * APART_MS);
    state.stopMs = view.readNowMs();
    const stop = {
      noticeEndMs: state.stopMs + SHUTDOWN_TIMES.NOTICE_MS,
      endMs: state.stopMs + graceMs,
    };
    await drainCallers(listener, stop, () => view.readNowMs());
    listener.stop();
    const ends = (await Promise.all(callers)).flat();
    const answered = ends.filter(({ end }) => typeof end === "number");
    expect(ends.filter(({ end }) => typeof end === "string")).toEqual([]);
    expect(answered.filter(({ end }) => end === 200)).toHaveLength(
      upstream.seen.length,
    );
    expect(answered.length).toBeGreaterThan(CALLERS);
    await close();
  },
  20_000,
);

// Guards against a stop that waits for connections nobody uses, or leaves them open.
test("idle connections are closed in a stop, and don't hold it up", async () => {
  const { view, port, listener, close } = await startServing();
  const [used, unused] = [connect(port, HOST), connect(port, HOST)];
  const closed = [used, unused].map(
    (socket) => new Promise((resolve) => socket.once("close", resolve)),
  );
  unused.resume();
  used.write("POST /short/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  await new Promise((resolve) => used.once("data", resolve));
  const nowMs = view.readNowMs();
  const stop = {
    noticeEndMs: nowMs + SHUTDOWN_TIMES.NOTICE_MS,
    endMs: nowMs + 8_000,
  };
  await drainCallers(listener, stop, () => view.readNowMs());
  const tookMs = view.readNowMs() - nowMs;
  expect(tookMs).toBeLessThan(SHUTDOWN_TIMES.LINGER_MS + 300);
  await Promise.all(closed);
  await close();
}, 20_000);
