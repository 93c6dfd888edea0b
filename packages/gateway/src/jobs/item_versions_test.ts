import { ITEM_RESULTS } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createItemPool } from "../testing/create_item_pool.ts";
import { startUpstream } from "../testing/start_upstream.ts";

const TYPE = { "content-type": "text/event-stream" };
const CUT_MS = 10;

/** Starts an upstream that writes two events and breaks off. */
function startBreaking(onBroken: () => void) {
  return startUpstream((_, res) => {
    res.writeHead(200, TYPE);
    res.write("id: 1\ndata: old1\n\nid: 2\ndata: old2\n\n");
    setTimeout(() => {
      onBroken();
      res.destroy();
    }, CUT_MS);
  });
}

/** Starts an upstream that writes what is missing of three events. */
function startWhole(name: string) {
  return startUpstream((req, res) => {
    const last = Number(req.headers["last-event"] ?? 0);
    const missing = [1, 2, 3].filter((id) => id > last);
    const events = missing.map((id) => `id: ${id}\ndata: ${name}${id}\n\n`);
    res.writeHead(200, TYPE).end(events.join(""));
  });
}

test("an item begins anew where no upstream of its text's version is left", async () => {
  const breaking = await startBreaking(() => remove());
  const other = await startWhole("new");
  const { view, results, addUpstream, waitForResult } = createItemPool(1_000, [
    { ...breaking, version: "v1" },
  ]);
  const remove = (): void => {
    view.directory.remove("u0", 1e9);
    addUpstream({ ...other, version: "v2" }, "u1");
  };
  await waitForResult();
  expect(results[0]).toMatchObject({
    state: ITEM_RESULTS.completed,
    text: "new1\nnew2\nnew3",
  });
  await Promise.all([breaking.close(), other.close()]);
});

test("an item goes on at another upstream of its text's version", async () => {
  const breaking = await startBreaking(() => remove());
  const [same, other] = await Promise.all([
    startWhole("old"),
    startWhole("new"),
  ]);
  const { view, results, addUpstream, waitForResult } = createItemPool(1_000, [
    { ...breaking, version: "v1" },
  ]);
  const remove = (): void => {
    view.directory.remove("u0", 1e9);
    addUpstream({ ...other, version: "v2" }, "u1");
    addUpstream({ ...same, version: "v1" }, "u2");
  };
  await waitForResult();
  expect(results[0]?.text).toBe("old1\nold2\nold3");
  expect(same.seen).toHaveLength(1);
  await Promise.all([breaking, same, other].map((up) => up.close()));
});
