import { got } from "got";
import { BatchClient } from "../support/batch_client.ts";
import { startSystem } from "../support/start_system.ts";
import { waitUntil } from "../support/wait_until.ts";
import type { Measure } from "./types.ts";

const MEASURE = "job-throughput";
const ITEMS = 4_000;
const CONCURRENCY = 16;
const LIMIT_MS = 120_000;
const MS_PER_SECOND = 1_000;
const BODY = { model: "demo-model", messages: [], max_tokens: 1 };
const ENGINE = { tokens: 1, tokenMs: 0, firstTokenMs: 0 };

/**
 * Measures batch items per second through one real daemon, from the creation
 * of the batch to its output files, with engines that answer immediately.
 * Client, daemon, store and engines share one process.
 */
export const JOB_THROUGHPUT: Measure = {
  name: MEASURE,
  target: "product >= 32 items/s, twice a node's part of 610 M a day",
  run: async (seed) => {
    const system = await startSystem({ engines: 2, engine: ENGINE });
    const client = new BatchClient(system.api);
    const direct = await measureDirect(
      system.engines.map(({ url }) => `${url}/v1/chat/completions`),
    );
    const fileId = await client.upload(BatchClient.writeInput(ITEMS, BODY));
    const startedMs = performance.now();
    const { body } = await client.create(fileId);
    await waitUntil(
      async () => (await client.get(body.id)).status === "completed",
      LIMIT_MS,
    );
    const product = toItemsPerSecond(performance.now() - startedMs);
    await system.stop();
    const unit = "items/s";
    return [
      { measure: MEASURE, policy: "product", value: product, unit, seed },
      { measure: MEASURE, policy: "direct", value: direct, unit, seed },
    ];
  },
};

/** Sends the same calls directly to the engines, with the same concurrency. */
async function measureDirect(urls: readonly string[]): Promise<number> {
  const startedMs = performance.now();
  const workers = Array.from({ length: CONCURRENCY }, (_, index) => {
    const url = urls[index % urls.length] ?? "";
    const calls = Array.from({ length: ITEMS / CONCURRENCY });
    return calls.reduce<Promise<unknown>>(
      (before) => before.then(() => got.post(url, { json: BODY }).json()),
      Promise.resolve(),
    );
  });
  await Promise.all(workers);
  return toItemsPerSecond(performance.now() - startedMs);
}

function toItemsPerSecond(elapsedMs: number): number {
  return (ITEMS * MS_PER_SECOND) / elapsedMs;
}
