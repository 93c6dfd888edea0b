import { ITEM_RESULTS } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createItemPool } from "../testing/create_item_pool.ts";
import { startEndlessUpstream } from "../testing/start_endless_upstream.ts";
import { startUpstream } from "../testing/start_upstream.ts";

/** Bytes that a run may take, those in sockets included. */
const MAX_BYTES = 12 * 1_024 * 1_024;
const OK_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const DATA = "x".repeat(32 * 1_024);

const FORMS = [
  ["events", OK_HEAD, (count: number) => `id: ${count + 1}\ndata: ${DATA}\n\n`],
  ["one event", OK_HEAD, () => DATA],
  ["an answer of another type", "HTTP/1.1 200 OK\r\n\r\n", () => DATA],
] as const;

// Guards against a worker that keeps the output of an upstream without end and runs
// out of memory.
test.each(FORMS)(
  "an item whose upstream sends %s without end is run elsewhere",
  async (_, head, buildBlock) => {
    const endless = await startEndlessUpstream(head, buildBlock);
    const sound = await startUpstream((__, res) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.end("id: 1\ndata: a\n\n");
    });
    const { results, addUpstream, step, waitForResult } = createItemPool(
      1_000,
      [endless],
    );
    step();
    await expect.poll(endless.countBytes).toBeGreaterThan(0);
    addUpstream(sound, "u1");
    await waitForResult();
    expect(results).toMatchObject([
      { state: ITEM_RESULTS.completed, text: "a" },
    ]);
    await expect.poll(endless.countOpen).toBe(0);
    expect(endless.countBytes()).toBeLessThan(MAX_BYTES);
    await Promise.all([endless.close(), sound.close()]);
  },
);

// Guards against failed runs that never count, as their answer does not end.
test("an error status counts though its body does not end", async () => {
  const endless = await startEndlessUpstream("HTTP/1.1 422 No\r\n\r\n");
  const { results, waitForResult } = createItemPool(1_000, [endless]);
  await waitForResult();
  expect(results).toMatchObject([{ state: ITEM_RESULTS.errored }]);
  await endless.close();
});

// Guards against a result that no record holds, which keeps all others from the list.
test("an output too large for a record is not listed", async () => {
  const data = "\u20ac".repeat(1_000);
  const large = await startUpstream((_, res) => {
    res.writeHead(200, { "content-type": "text/event-stream" });
    const events = Array.from(
      { length: 400 },
      (__, index) => `id: ${index + 1}\ndata: ${data}\n\n`,
    );
    res.end(events.join(""));
  });
  const sound = await startUpstream((_, res) => {
    res.writeHead(200, { "content-type": "text/event-stream" });
    res.end("id: 1\ndata: a\n\n");
  });
  const { results, addUpstream, step, waitForResult } = createItemPool(1_000, [
    large,
  ]);
  step();
  addUpstream(sound, "u1");
  await waitForResult();
  expect(results).toMatchObject([{ state: ITEM_RESULTS.completed, text: "a" }]);
  await Promise.all([large.close(), sound.close()]);
});
