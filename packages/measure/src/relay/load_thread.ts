import { performance } from "node:perf_hooks";
import { Worker } from "node:worker_threads";
import type {
  LoadMessage,
  LoadOrder,
  LoadReport,
  LoadResult,
} from "./types.ts";

/** A load's result, and how busy the relay's own thread was meanwhile. */
export type Measured = LoadResult & { readonly relayBusy: number };

/** Drives the load thread from the thread in which the relay runs. */
export class LoadThread {
  readonly #worker = new Worker(new URL("./load_worker.js", import.meta.url));

  /** Resolves with the engines' URLs once the thread is up. */
  async open(): Promise<readonly string[]> {
    const report = await this.#wait("ready");
    return report.engineUrls;
  }

  async run(order: LoadOrder): Promise<Measured> {
    const ended = this.#wait("ended");
    const begun = this.#wait("begun");
    this.#post({ kind: "run", order });
    await begun;
    const before = performance.eventLoopUtilization();
    const { result } = await ended;
    const relayBusy = performance.eventLoopUtilization(before).utilization;
    return { ...result, relayBusy };
  }

  /** Ends the thread; a fault in it ends the process. */
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
      const take = (report: LoadReport): void => {
        if (report.kind === kind) {
          this.#worker.off("message", take);
          resolve(report as Extract<LoadReport, { readonly kind: Kind }>);
        } else if (report.kind === "failed") {
          this.#worker.off("message", take);
          reject(new Error(report.message));
        }
      };
      this.#worker.on("message", take);
    });
  }
}
