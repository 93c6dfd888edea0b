import { performance } from "node:perf_hooks";
import { Worker } from "node:worker_threads";
import type {
  LoadMessage,
  LoadOptions,
  LoadReport,
  LoadResult,
} from "./types.ts";

/** A load's result, with the utilization of the relay's thread (0 to 1). */
export type MeasuredLoad = LoadResult & { readonly relayBusy: number };

/** Controls the load thread from the thread in which the relay runs. */
export class LoadThread {
  readonly #worker = new Worker(new URL("./load_worker.js", import.meta.url));

  /** Waits until the thread is ready and returns its engines' URLs. */
  async open(): Promise<readonly string[]> {
    const report = await this.#wait("ready");
    return report.engineUrls;
  }

  async run(options: LoadOptions): Promise<MeasuredLoad> {
    const ended = this.#wait("ended");
    const begun = this.#wait("begun");
    this.#post({ kind: "run", options });
    await begun;
    const before = performance.eventLoopUtilization();
    const { result } = await ended;
    const relayBusy = performance.eventLoopUtilization(before).utilization;
    return { ...result, relayBusy };
  }

  /** Terminates the thread. An uncaught error in it ends the process. */
  async close(): Promise<void> {
    await this.#worker.terminate();
  }

  #post(message: LoadMessage): void {
    this.#worker.postMessage(message);
  }

  #wait<Kind extends LoadReport["kind"]>(
    kind: Kind,
  ): Promise<Extract<LoadReport, { readonly kind: Kind }>> {
    return new Promise((resolve, reject) => {
      const handleReport = (report: LoadReport): void => {
        if (report.kind === kind) {
          this.#worker.off("message", handleReport);
          resolve(report as Extract<LoadReport, { readonly kind: Kind }>);
        } else if (report.kind === "failed") {
          this.#worker.off("message", handleReport);
          reject(new Error(report.message));
        }
      };
      this.#worker.on("message", handleReport);
    });
  }
}
