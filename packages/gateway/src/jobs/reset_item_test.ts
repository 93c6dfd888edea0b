import { ITEM_RESULTS } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createItemPool } from "../testing/create_item_pool.ts";
import { startCuttingUpstream } from "../testing/start_cutting_upstream.ts";
import { startUpstream } from "../testing/start_upstream.ts";

const HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const FRAMINGS = [
  "",
  "Transfer-Encoding: identity\r\n",
  "Transfer-Encoding: gzip\r\n",
  "Transfer-Encoding: chunked\t\r\n",
];
const CASES = FRAMINGS.flatMap((framing) =>
  [1, 20, 39].map((count) => ({ framing, count })),
);
const EVENTS = 40;

function buildEvents(first: number, last: number): string {
  return Array.from(
    { length: last - first + 1 },
    (_, index) => `id: ${first + index}\ndata: ${first + index};\n\n`,
  ).join("");
}

// Guards against the part of an output that is listed as the whole one.
test.each(CASES)(
  "an item whose upstream resets after event $count ('$framing') is completed by another",
  async ({ framing, count }) => {
    const events = buildEvents(1, count);
    const bytes = Buffer.from(`${HEAD}${framing}\r\n${events}`);
    const cutting = await startCuttingUpstream(bytes, 0);
    const sound = await startUpstream((req, res) => {
      const last = Number(req.headers["last-event"] ?? 0);
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.end(buildEvents(last + 1, EVENTS));
    });
    const { results, addUpstream, step, waitForResult } = createItemPool(
      1_000,
      [cutting],
    );
    step();
    await expect.poll(cutting.countAnswers).toBeGreaterThan(0);
    addUpstream(sound, "u1");
    await waitForResult();
    const whole = Array.from({ length: EVENTS }, (_, index) => `${index + 1};`);
    expect(results).toMatchObject([
      { state: ITEM_RESULTS.completed, text: whole.join("\n") },
    ]);
    await Promise.all([cutting.close(), sound.close()]);
  },
);
