import type { Socket } from "node:net";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { runRequest } from "../testing/run_request.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

const HEAD =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const RESET_DELAY_MS = 15;

function buildChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function buildEvents(ids: readonly number[]): string {
  return buildChunk(ids.map((id) => `id: ${id}\ndata: text${id}\n\n`).join(""));
}

/** Writes a head and two events, then resets the connection. */
function writeAndReset(socket: Socket): void {
  socket.write(HEAD + buildEvents([1, 2]));
  setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
}

function writeRest(socket: Socket): void {
  socket.write(`${HEAD}${buildEvents([3, 4])}0\r\n\r\n`);
}

/** Runs a stream that breaks off after two events; others have these versions. */
async function runBroken(versions: readonly string[]) {
  const upstreams = await Promise.all(
    versions.map((_, index) =>
      startRawUpstream(index === 0 ? writeAndReset : writeRest),
    ),
  );
  const view = createView();
  const addresses = upstreams.map(({ address }) => address);
  const { answer, ended } = runRequest({ addresses, versions, view });
  await ended;
  await Promise.all(upstreams.map((upstream) => upstream.close()));
  return answer;
}

test("a stream that breaks off does not go on at an upstream of another version", async () => {
  const answer = await runBroken(["v1", "v2"]);
  expect(answer.end).toBe("broken-off");
  expect(answer.body).not.toContain("text3");
});

test("a stream that breaks off goes on at another upstream of its version", async () => {
  const answer = await runBroken(["v1", "v2", "v2", "v1"]);
  expect(answer.end).toBe("whole");
  expect(answer.body).toContain("text3");
});
