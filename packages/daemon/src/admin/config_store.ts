import { randomUUID } from "node:crypto";
import type { ConfigDocument } from "@gooseberryline/core";
import { type Platform, PlatformError } from "@gooseberryline/protocol";

const CONFIG_KEY = "config/current";
const KEPT_WRITERS = 16;
const READ_BACK_TRIES = 3;

/** A stored configuration; `writers` are those of the last revisions. */
type StoredConfig = {
  readonly revision: number;
  readonly document: unknown;
  readonly writers?: readonly string[];
};

type Held = { readonly stored: StoredConfig; readonly version: number };

/** How a write of the configuration ended. */
export type ConfigWrite =
  | { readonly kind: "written"; readonly revision: number }
  /** Another write came first. */
  | { readonly kind: "lost-race"; readonly revision: number }
  /** No answer, and none on reading back: it may have been written. */
  | { readonly kind: "unknown" };

/** Reads and writes the configuration in the platform's service. */
export class ConfigStore {
  readonly #platform: Platform;

  constructor(platform: Platform) {
    this.#platform = platform;
  }

  /** The stored configuration; revision 0 where there is none yet. */
  async read(): Promise<StoredConfig> {
    return (await this.#readHeld()).stored;
  }

  /** Writes a checked document if `expect` is still the revision. */
  async write(document: ConfigDocument, expect: number): Promise<ConfigWrite> {
    const held = await this.#readHeld();
    if (held.stored.revision !== expect) {
      return { kind: "lost-race", revision: held.stored.revision };
    }
    const writer = randomUUID();
    const revision = expect + 1;
    const writers = [...(held.stored.writers ?? []), writer];
    const value = JSON.stringify({
      revision,
      document,
      writers: writers.slice(-KEPT_WRITERS),
    });
    try {
      const answer = await this.#platform.cas({
        key: CONFIG_KEY,
        value,
        expect: held.version,
      });
      return answer.kind === "written"
        ? { kind: "written", revision }
        : { kind: "lost-race", revision: (await this.read()).revision };
    } catch (error) {
      if (
        error instanceof PlatformError &&
        error.fault.kind === "unavailable"
      ) {
        return this.#readBack(writer, revision, READ_BACK_TRIES);
      }
      throw error;
    }
  }

  /** Finds out whether a write whose answer was lost took effect. */
  async #readBack(
    writer: string,
    revision: number,
    triesLeft: number,
  ): Promise<ConfigWrite> {
    if (triesLeft === 0) {
      return { kind: "unknown" };
    }
    const found = await this.read().catch(() => undefined);
    if (found === undefined) {
      return this.#readBack(writer, revision, triesLeft - 1);
    }
    if (found.writers?.includes(writer) === true) {
      return { kind: "written", revision };
    }
    return found.revision >= revision
      ? { kind: "lost-race", revision: found.revision }
      : { kind: "unknown" };
  }

  async #readHeld(): Promise<Held> {
    const record = await this.#platform.get(CONFIG_KEY);
    return record === undefined
      ? { stored: { revision: 0, document: {} }, version: 0 }
      : {
          stored: JSON.parse(record.value) as StoredConfig,
          version: record.version,
        };
  }
}
