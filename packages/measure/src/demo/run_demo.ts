import type { RunRecord } from "@gooseberryline/core";
import { startSystem } from "../support/start_system.ts";
import { runBatch } from "./run_batch.ts";

const ITEM_COUNT = 200;

/**
 * Runs the main use cases over HTTP: a streamed request, a plain request, and a
 * batch of 200 items from upload to reading its output.
 */
export async function runDemo(print: (line: string) => void): Promise<void> {
  const system = await startSystem({ engines: 2 });
  const { api } = system;
  const messages = [{ role: "user", content: "Is hide glue in stock?" }];
  const chat = { model: "demo-model", messages };

  const streamed = await api
    .post("v1/chat/completions", { json: { ...chat, stream: true } })
    .text();
  const events = streamed.split("\n\n").filter((line) => line !== "");
  print(`streamed answer: ${events.length} events, ${events.at(-1)}`);

  const plain = await api
    .post("v1/chat/completions", { json: chat })
    .json<{ readonly choices: readonly unknown[] }>();
  print(`plain answer: ${plain.choices.length} choice`);

  const output = await runBatch(api, chat, ITEM_COUNT);
  print(`batch: ${output.length} lines for ${ITEM_COUNT} items`);
  const customIds = new Set(output.map(({ custom_id }) => custom_id));
  if (customIds.size !== ITEM_COUNT || output.length !== ITEM_COUNT) {
    throw new Error("the batch output does not have exactly one line per item");
  }

  printRuns(system.runs, print);
  await system.stop();
  print("stopped");
}

function printRuns(
  runs: readonly RunRecord[],
  print: (line: string) => void,
): void {
  const upstreams = [...new Set(runs.map(({ upstreamId }) => upstreamId))];
  upstreams.toSorted().forEach((id) => {
    const upstreamRuns = runs.filter(({ upstreamId }) => upstreamId === id);
    const items = upstreamRuns.filter(
      ({ origin }) => origin.kind === "item",
    ).length;
    const online = upstreamRuns.length - items;
    print(`ran at ${id}: ${online} online requests, ${items} items`);
  });
}
