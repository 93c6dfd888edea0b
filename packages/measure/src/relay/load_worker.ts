/** A thread with the engines and the callers of one measurement. */
import { parentPort } from "node:worker_threads";
import { LoadRun } from "./load_run.ts";
import { TokenEngine } from "./token_engine.ts";
import type { LoadMessage, LoadOrder, LoadReport } from "./types.ts";

const ENGINE_COUNT = 8;

const port = parentPort;
const engines = Array.from({ length: ENGINE_COUNT }, () => new TokenEngine());
const post = (report: LoadReport): void => port?.postMessage(report);

port?.on("message", (message: LoadMessage) => {
  if (message.kind === "run") {
    void runOrder(message.order);
  } else {
    process.exit(0);
  }
});
post({
  kind: "ready",
  engineUrls: await Promise.all(engines.map((engine) => engine.listen())),
});

async function runOrder(order: LoadOrder): Promise<void> {
  try {
    const run = new LoadRun(order, engines);
    const result = await run.run(() => post({ kind: "begun" }));
    post({ kind: "ended", result });
  } catch (error) {
    post({ kind: "failed", message: String(error) });
  }
}
