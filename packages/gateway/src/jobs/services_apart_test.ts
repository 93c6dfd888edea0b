import { ITEM_RESULTS } from "@gooseberryline/core";
import { expect, test, vi } from "vitest";
import { createItemPool } from "../testing/create_item_pool.ts";
import { startUpstream } from "../testing/start_upstream.ts";

const TYPE = { "content-type": "text/event-stream" };

function startAnswering() {
  return startUpstream((_, res) => {
    res.writeHead(200, TYPE).end("id: 1\ndata: a\n\n");
  });
}

// Guards against items that are never run since those of a lost service, due at the
// same time, stand before them.
test.each([1, 50])(
  "%i jobs of a service without upstreams hold no other service back",
  async (jobs) => {
    const upstream = await startAnswering();
    const pool = createItemPool(0, []);
    Array.from({ length: jobs }, (_, job) => `lost-${job}`).forEach((id) => {
      pool.addLostJob(id, 10);
    });
    pool.addUpstream(upstream, "u1");
    await pool.waitForResult();
    expect(pool.results).toMatchObject([{ state: ITEM_RESULTS.completed }]);
    await upstream.close();
  },
);

// Guards against rounds whose work grows with the items that wait.
test("a round looks for upstreams once a service, not once an item", () => {
  const { view, addLostJob, step } = createItemPool(0, []);
  Array.from({ length: 30 }, (_, job) => `lost-${job}`).forEach((id) => {
    addLostJob(id, 200);
  });
  step();
  const listCandidates = vi.spyOn(view, "listCandidates");
  step();
  expect(listCandidates).toHaveBeenCalledTimes(2);
});

// Guards against a share of a service's upstreams that is kept free for a worker
// whose items wait for another service.
test("only workers with waiting items of a service share its upstreams", () => {
  const { view } = createItemPool(0, []);
  const message = { ...view.buildMessage(false), from: "w2", waitingItems: 3 };
  view.handleMessage({ ...message, waitingServices: ["lost"] }, true);
  const nowMs = view.readNowMs();
  expect(view.load.listPeersWithWaitingItems("s", nowMs)).toEqual([]);
  expect(view.load.listPeersWithWaitingItems("lost", nowMs)).toEqual(["w2"]);
});
