import type { IncomingMessage, ServerResponse } from "node:http";
import type { Route } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { runRequest } from "../testing/run_request.ts";
import { startUpstream } from "../testing/start_upstream.ts";

type Handle = (req: IncomingMessage, res: ServerResponse) => void;

const STREAM = { "content-type": "text/event-stream", seal: "s1" };
const NON_IDEMPOTENT = { isResumable: false, isIdempotent: false } as const;

function buildEvent(id: number): string {
  return `id: ${id}\ndata: text${id}\n\n`;
}

function streamEvents(res: ServerResponse, ids: readonly number[]): void {
  res.writeHead(200, STREAM);
  res.write(ids.map(buildEvent).join(""));
}

function buildStream(ids: readonly number[]): Handle {
  return (_, res) => {
    streamEvents(res, ids);
    res.end();
  };
}

/**
 * Runs one request with upstreams that respond with `handles`, in this order.
 */
async function runWithUpstreams(
  handles: readonly Handle[],
  parts: { route?: Partial<Route>; lastEventId?: number } = {},
) {
  const upstreams = await Promise.all(handles.map(startUpstream));
  const addresses = upstreams.map(({ address }) => address);
  const { answer, ended } = runRequest({ ...parts, addresses });
  const outcome = await ended;
  await Promise.all(upstreams.map((upstream) => upstream.close()));
  return { answer, outcome, seen: upstreams.map(({ seen }) => seen) };
}

test("a stream is relayed with its head", async () => {
  const { answer, outcome } = await runWithUpstreams([buildStream([1, 2, 3])]);
  expect(outcome).toBe("answered");
  expect(answer.headers).toContain("seal");
  expect(answer.body).toBe([1, 2, 3].map(buildEvent).join(""));
  expect(answer.end).toBe("whole");
});

// Guards against a response without headers when a caller resumes a stream
// after its last event.
test("a stream without events keeps its head", async () => {
  const handle: Handle = (_, res) => {
    res.writeHead(200, STREAM).end();
  };
  const { answer, outcome } = await runWithUpstreams([handle], {
    lastEventId: 9,
  });
  expect(outcome).toBe("answered");
  expect(answer.headers).toContain("seal");
  expect(answer.end).toBe("whole");
});

test("a stream cut inside an event resumes after the last complete event", async () => {
  const { answer, outcome, seen } = await runWithUpstreams([
    (_, res) => {
      const events = `${buildEvent(1)}${buildEvent(2)}id: 3\nda`;
      res.writeHead(200, STREAM);
      res.write(events, () => res.destroy());
    },
    buildStream([3, 4]),
  ]);
  expect(outcome).toBe("answered");
  expect(seen[1]?.[0]?.["last-event"]).toBe("2");
  expect(answer.body).toBe([1, 2, 3, 4].map(buildEvent).join(""));
});

test("a stream that is not resumable is broken off", async () => {
  const { answer, outcome, seen } = await runWithUpstreams(
    [
      (_, res) => {
        res.writeHead(200, STREAM);
        res.write(buildEvent(1), () => res.destroy());
      },
      (_, res) => res.end(),
    ],
    { route: NON_IDEMPOTENT },
  );
  expect(outcome).toBe("broken-off");
  expect(answer.end).toBe("broken-off");
  expect(seen[1]).toHaveLength(0);
});

test("a non-idempotent request that may have run is not retried, nor reported as not run", async () => {
  const { answer, outcome, seen } = await runWithUpstreams(
    [(_, res) => res.destroy(), (_, res) => res.end()],
    { route: NON_IDEMPOTENT },
  );
  expect(outcome).toBe("refused");
  expect(answer.status).toBe(502);
  expect(answer.run).toBe("may have run");
  expect(seen[1]).toHaveLength(0);
});

test("a request that an upstream rejects unexecuted is sent to another one", async () => {
  const { answer, outcome } = await runWithUpstreams(
    [
      (_, res) => {
        res.writeHead(503, { "not-run": "1" }).end();
      },
      buildStream([1]),
    ],
    { route: { ...NON_IDEMPOTENT, maxAttempts: 1 } },
  );
  expect(outcome).toBe("answered");
  expect(answer.body).toBe(buildEvent(1));
});

test("a request to an unresponsive upstream is retried elsewhere", async () => {
  const silent: Handle = () => undefined;
  const { answer, outcome } = await runWithUpstreams([
    silent,
    buildStream([1]),
  ]);
  expect(outcome).toBe("answered");
  expect(answer.body).toBe(buildEvent(1));
});

test("out-of-order events are not relayed", async () => {
  const { answer, outcome } = await runWithUpstreams([
    (_, res) => {
      streamEvents(res, [1, 2, 4]);
    },
    buildStream([3]),
  ]);
  expect(outcome).toBe("answered");
  expect(answer.body).toBe([1, 2, 3].map(buildEvent).join(""));
});

test("a response to another request is not relayed", async () => {
  const { answer, outcome } = await runWithUpstreams([
    (_, res) => {
      res.writeHead(200, { ...STREAM, "request-id": "r0" });
      res.end(buildEvent(7));
    },
    buildStream([1]),
  ]);
  expect(outcome).toBe("answered");
  expect(answer.body).toBe(buildEvent(1));
});

test("a caller that disconnects cancels the upstream request", async () => {
  let onClosed: () => void = () => undefined;
  const closed = new Promise<void>((resolve) => {
    onClosed = resolve;
  });
  let onStarted: () => void = () => undefined;
  const started = new Promise<void>((resolve) => {
    onStarted = resolve;
  });
  const upstream = await startUpstream((_, res) => {
    streamEvents(res, [1]);
    res.on("close", () => onClosed());
    onStarted();
  });
  const run = runRequest({ addresses: [upstream.address] });
  await started;
  run.cancel();
  expect(await run.ended).toBe("caller-left");
  await closed;
  await upstream.close();
});

test("a request without any upstream is refused immediately", async () => {
  const { answer, ended } = runRequest({ addresses: [] });
  expect(await ended).toBe("refused");
  expect(answer.status).toBe(503);
  expect(answer.run).toBe("not run");
});

test("the head timeout of an active upstream is extended once", async () => {
  const first = await startUpstream((_, res) => {
    setTimeout(() => {
      streamEvents(res, [1]);
      res.end();
    }, 800);
  });
  const second = await startUpstream((_, res) => res.end());
  // The head timeout is 600 ms, extended by another 600 ms.
  const run = runRequest({
    addresses: [first.address, second.address],
    route: { objectiveMs: 1_200 },
  });
  setTimeout(() => run.view.load.recordActivity("u0", performance.now()), 100);
  expect(await run.ended).toBe("answered");
  expect(run.answer.body).toBe(buildEvent(1));
  expect(second.seen).toHaveLength(0);
  await Promise.all([first.close(), second.close()]);
});

// Guards against a request that is sent although its time is up when its turn comes.
test("a request without time left is not sent", async () => {
  const { answer, seen } = await runWithUpstreams([buildStream([1])], {
    route: { timeoutMs: 0 },
  });
  expect(answer).toMatchObject({ status: 504, run: "not run" });
  expect(seen).toEqual([[]]);
});
