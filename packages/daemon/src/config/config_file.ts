import { mkdir, open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";
import { type Config, checkConfig } from "@gooseberryline/core";
import type { Log } from "../logs/create_log.ts";

const FILE = "config.json";

/** Stores the latest configuration in the data folder for the next start. */
export class ConfigFile {
  readonly #folder: string;
  readonly #log: Log;
  #next: Config | undefined;
  #written: Promise<void> = Promise.resolve();

  constructor(folder: string, log: Log) {
    this.#folder = folder;
    this.#log = log;
  }

  /** Queues a write of `config`; a newer one replaces it while it is queued. */
  store(config: Config): void {
    this.#next = config;
    this.#written = this.#written.then(() => this.#writeNext());
  }

  /** Resolves once all queued writes have finished. */
  settle(): Promise<void> {
    return this.#written;
  }

  /**
   * Returns the stored configuration, or undefined if it is missing or invalid.
   */
  async read(): Promise<Config | undefined> {
    try {
      const text = await readFile(join(this.#folder, FILE), "utf8");
      const { revision, document } = JSON.parse(text) as Config;
      const checked = checkConfig(document);
      return checked.kind === "valid" && Number.isInteger(revision)
        ? { revision, document: checked.document }
        : undefined;
    } catch {
      return undefined;
    }
  }

  async #writeNext(): Promise<void> {
    const config = this.#next;
    this.#next = undefined;
    if (config === undefined) {
      return;
    }
    const path = join(this.#folder, FILE);
    try {
      await mkdir(this.#folder, { recursive: true });
      const handle = await open(`${path}.part`, "w");
      await handle.writeFile(JSON.stringify(config));
      await handle.sync();
      await handle.close();
      await rename(`${path}.part`, path);
    } catch (error) {
      const message = String(error);
      this.#log.error("config-not-kept", {
        step: "store",
        peer: path,
        message,
      });
    }
  }
}
