/** Entry point of the load thread, which runs the engines and callers. */
import { parentPort } from "node:worker_threads";
import { LoadRun } from "./load_run.ts";
import { TokenEngine } from "./token_engine.ts";
import type { LoadMessage, LoadOptions, LoadReport } from "./types.ts";

const ENGINE_COUNT = 8;

const port = parentPort;
const engines = Array.from({ length: ENGINE_COUNT }, () => new TokenEngine());
const post = (report: LoadReport): void => port?.postMessage(report);

port?.on("message", (message: LoadMessage) => {
  if (message.kind === "run") {
    void runLoad(message.options);
  } else {
    process.exit(0);
  }
});
post({
  kind: "ready",
  engineUrls: await Promise.all(engines.map((engine) => engine.listen())),
});

async function runLoad(options: LoadOptions): Promise<void> {
  try {
    const run = new LoadRun(options, engines);
    const result = await run.run(() => post({ kind: "begun" }));
    post({ kind: "ended", result });
  } catch (error) {
    post({ kind: "failed", message: String(error) });
  }
}
