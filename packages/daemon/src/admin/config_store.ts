import { randomUUID } from "node:crypto";
import type { ConfigDocument } from "@gooseberryline/core";
import { type Platform, PlatformError } from "@gooseberryline/protocol";

const CONFIG_KEY = "config/current";
const MAX_WRITERS = 16;
const READ_BACK_ATTEMPTS = 3;

/**
 * A stored configuration; `writers` are the write ids of the latest revisions.
 */
type StoredConfig = {
  readonly revision: number;
  readonly document: unknown;
  readonly writers?: readonly string[];
};

type VersionedConfig = {
  readonly stored: StoredConfig;
  readonly version: number;
};

/** Outcome of a configuration write. */
export type ConfigWrite =
  | { readonly kind: "written"; readonly revision: number }
  /** A concurrent write came first. */
  | { readonly kind: "lost-race"; readonly revision: number }
  /** No response, and reading back was inconclusive: it may have succeeded. */
  | { readonly kind: "unknown" };

/** Reads and writes the configuration in the platform's store. */
export class ConfigStore {
  readonly #platform: Platform;

  constructor(platform: Platform) {
    this.#platform = platform;
  }

  /** Returns the stored configuration, with revision 0 if there is none yet. */
  async read(): Promise<StoredConfig> {
    return (await this.#readVersioned()).stored;
  }

  /** Writes a valid document if `expect` is still the current revision. */
  async write(document: ConfigDocument, expect: number): Promise<ConfigWrite> {
    const current = await this.#readVersioned();
    if (current.stored.revision !== expect) {
      return { kind: "lost-race", revision: current.stored.revision };
    }
    const writer = randomUUID();
    const revision = expect + 1;
    const writers = [...(current.stored.writers ?? []), writer];
    const value = JSON.stringify({
      revision,
      document,
      writers: writers.slice(-MAX_WRITERS),
    });
    try {
      const answer = await this.#platform.cas({
        key: CONFIG_KEY,
        value,
        expect: current.version,
      });
      return answer.kind === "written"
        ? { kind: "written", revision }
        : { kind: "lost-race", revision: (await this.read()).revision };
    } catch (error) {
      if (
        error instanceof PlatformError &&
        error.fault.kind === "unavailable"
      ) {
        return this.#readBack(writer, revision, READ_BACK_ATTEMPTS);
      }
      throw error;
    }
  }

  /** Determines whether a write took effect although its response was lost. */
  async #readBack(
    writer: string,
    revision: number,
    attemptsLeft: number,
  ): Promise<ConfigWrite> {
    if (attemptsLeft === 0) {
      return { kind: "unknown" };
    }
    const found = await this.read().catch(() => undefined);
    if (found === undefined) {
      return this.#readBack(writer, revision, attemptsLeft - 1);
    }
    if (found.writers?.includes(writer) === true) {
      return { kind: "written", revision };
    }
    return found.revision >= revision
      ? { kind: "lost-race", revision: found.revision }
      : { kind: "unknown" };
  }

  async #readVersioned(): Promise<VersionedConfig> {
    const record = await this.#platform.get(CONFIG_KEY);
    return record === undefined
      ? { stored: { revision: 0, document: {} }, version: 0 }
      : {
          stored: JSON.parse(record.value) as StoredConfig,
          version: record.version,
        };
  }
}
