import { ITEM_RESULTS, type PromptBlock } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createItemPool } from "../testing/create_item_pool.ts";
import { startUpstream, type TestUpstream } from "../testing/start_upstream.ts";

const BLOCK: PromptBlock = {
  kind: "prompt",
  parts: ["x"],
  customers: ["t1", "t2"],
  upstreams: ["u1"],
};

function startSound(): Promise<TestUpstream> {
  return startUpstream((_, res) => {
    const type = { "content-type": "text/event-stream" };
    res.writeHead(200, type).end("id: 1\ndata: text\n\n");
  });
}

test("an item runs also where its part is blocked for callers, whatever its age", async () => {
  const sound = await startSound();
  const ages = [1_000, 61_000];
  await Promise.all(
    ages.map(async (ageMs) => {
      const { view, results, waitForResult } = createItemPool(ageMs, [sound]);
      view.crashes.addBlock(BLOCK, "peer");
      await waitForResult();
      expect(results[0]?.state).toBe(ITEM_RESULTS.completed);
    }),
  );
  await sound.close();
});

test("an item under which upstreams crashed is run again and suspected of nothing", async () => {
  const crashing: TestUpstream[] = [];
  const start = async (): Promise<void> => {
    const upstream = await startUpstream((_, res) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.flushHeaders();
      setTimeout(() => void upstream.close(), 5);
    });
    crashing.push(upstream);
  };
  await Promise.all([1, 2, 3].map(start));
  const { view, results, addUpstream, waitForResult } = createItemPool(
    1_000,
    crashing,
  );
  const sound = await startSound();
  setTimeout(() => addUpstream(sound, "sound"), 1_500);
  await waitForResult();
  expect(results[0]?.state).toBe(ITEM_RESULTS.completed);
  const crashes = view.crashes.buildNews()?.crashes ?? [];
  expect(crashes.length).toBeGreaterThan(0);
  expect(crashes.flatMap(({ suspects }) => suspects)).toEqual([]);
  await sound.close();
});
