import { connect, type Socket } from "node:net";
import { ConnectionPool } from "@gooseberryline/daemon";
import { createMetadata } from "@gooseberryline/fakes";
import { expect, test } from "vitest";
import { HeldBytes } from "../exchange/held_bytes.ts";
import { JobApi } from "../jobs/job_api.ts";
import { ResultCountFeed } from "../jobs/result_count_feed.ts";
import { createOrigins } from "../testing/create_origins.ts";
import { createView } from "../testing/create_view.ts";
import { findPort } from "../testing/find_port.ts";
import { plainDialect } from "../testing/plain_dialect.ts";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { CallerListener } from "./caller_listener.ts";

const HOST = "127.0.0.1";
const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

async function startListener() {
  const view = createView();
  const shared = { view, dialect: plainDialect, log: SILENT_LOG };
  const listener = new CallerListener({
    ...shared,
    pool: new ConnectionPool(1_000),
    held: new HeldBytes(),
    origins: createOrigins(view).origins,
    jobs: new JobApi({
      ...shared,
      store: createMetadata().store,
      resultCounts: new ResultCountFeed(() => view.readNowMs()),
      onClaimsChange: () => undefined,
    }),
    onDone: () => undefined,
  });
  const port = await findPort();
  await listener.start({ host: HOST, port });
  return { listener, port };
}

/** Sends a request and returns the first bytes of the response. */
function sendRequest(socket: Socket): Promise<string> {
  return new Promise((resolve, reject) => {
    socket.once("data", (bytes) => resolve(bytes.toString()));
    socket.once("close", () => reject(new Error("closed without an answer")));
    socket.write(REQUEST);
  });
}

// Guards against requests cut off at the end of a shutdown: one that arrived on
// a kept-alive connection 6 s after the stop began was still running when the
// grace period ended.
test("after the linger time no request is accepted on a kept-alive connection", async () => {
  const { listener, port } = await startListener();
  const keptAlive = connect(port, HOST);
  expect(await sendRequest(keptAlive)).toContain("503");
  const closed = new Promise<string>((resolve) => {
    keptAlive.once("close", () => resolve("closed"));
  });
  listener.stopAccepting();
  expect(await closed).toBe("closed");
  const fresh = connect(port, HOST);
  const refused = new Promise<string>((resolve) => {
    fresh.once("error", () => resolve("refused"));
  });
  expect(await refused).toBe("refused");
  listener.stop();
});

test("during a shutdown each response closes its connection", async () => {
  const { listener, port } = await startListener();
  const keptAlive = connect(port, HOST);
  expect(await sendRequest(keptAlive)).not.toContain("Connection: close");
  listener.startDraining({ noticeEndMs: 0, endMs: 0 });
  expect(await sendRequest(keptAlive)).toContain("Connection: close");
  listener.stop();
});
