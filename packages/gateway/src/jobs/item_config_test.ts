import { ITEM_RESULTS } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createItemPool } from "../testing/create_item_pool.ts";
import { startUpstream } from "../testing/start_upstream.ts";
import { waitMs } from "../wait_ms.ts";

const TYPE = { "content-type": "text/event-stream" };
/** Time for a request that is sent at once to arrive, in ms. */
const SEND_MS = 100;

function startAnswering() {
  return startUpstream((_, res) => {
    res.writeHead(200, TYPE).end("id: 1\ndata: a\n\n");
  });
}

// Guards against items listed as errored by an instance that has not heard of
// their route yet.
test("an item whose route is not known yet waits and is run", async () => {
  const upstream = await startAnswering();
  const { results, step, adoptConfig, waitForResult, view } = createItemPool(
    0,
    [upstream],
    5,
  );
  const asked: number[] = [];
  view.onConfigBehind = () => asked.push(view.readNowMs());
  adoptConfig(4, false);
  step();
  expect(results).toEqual([]);
  expect(asked).toHaveLength(1);
  adoptConfig(5, true);
  await waitForResult();
  expect(results).toMatchObject([{ state: ITEM_RESULTS.completed, text: "a" }]);
  await upstream.close();
});

// Guards against items run by the service of a configuration older than the one
// that accepted their job.
test("an item waits where an older configuration has its route", async () => {
  const upstream = await startAnswering();
  const { step, adoptConfig, waitForResult } = createItemPool(0, [upstream], 5);
  adoptConfig(4, true);
  step();
  await waitMs(SEND_MS);
  expect(upstream.seen).toHaveLength(0);
  adoptConfig(5, true);
  await waitForResult();
  expect(upstream.seen).toHaveLength(1);
  await upstream.close();
});

// Guards against items left unlisted for good once their route has ended.
test.each([5, 6])(
  "an item is errored once revision %i has no route for it",
  async (revision) => {
    const { results, adoptConfig, waitForResult } = createItemPool(0, [], 5);
    adoptConfig(revision, false);
    await waitForResult();
    expect(results).toMatchObject([{ state: ITEM_RESULTS.errored }]);
  },
);
