import { type Config, checkConfig } from "@gooseberryline/core";
import { type Platform, PlatformError } from "@gooseberryline/protocol";
import type { Log } from "../logs/create_log.ts";

/** Key of the configuration in the platform's store. */
const CONFIG_KEY = "config/current";
/** A key that is never written; reading it checks that the store responds. */
const PROBE_KEY = "config/probe";
const WATCH_TIMEOUT_MS = 3_000;
/** Watch timeout after a failed round: the store may be slow, not down. */
const SLOW_WATCH_TIMEOUT_MS = 8_000;
const RETRY_DELAY_MS = 500;

/** Dependencies of the watch. */
export type WatchParts = {
  readonly platform: Platform;
  readonly log: Log;
  readonly offer: (config: Config) => void;
  /** Called after each round with whether the platform responded. */
  readonly report: (isReached: boolean) => void;
};

/**
 * Watches the configuration in the store while this instance is responsible.
 * A watch without a response within `WATCH_TIMEOUT_MS` is followed by a probe,
 * which distinguishes a dead connection from an idle one, and is then started
 * again.
 */
export class ConfigWatch {
  readonly #parts: WatchParts;
  #round = 0;
  #seen = 0;
  #waitMs = WATCH_TIMEOUT_MS;

  constructor(parts: WatchParts) {
    this.#parts = parts;
  }

  setWatching(isHeld: boolean): void {
    this.#round += 1;
    if (isHeld) {
      void this.#follow(this.#round);
    }
  }

  stop(): void {
    this.setWatching(false);
  }

  async #follow(round: number): Promise<void> {
    while (round === this.#round) {
      const isReached = await this.#watchOnce();
      if (round !== this.#round) {
        return;
      }
      this.#parts.report(isReached);
      this.#waitMs = isReached ? WATCH_TIMEOUT_MS : SLOW_WATCH_TIMEOUT_MS;
      if (!isReached) {
        await wait(RETRY_DELAY_MS);
      }
    }
  }

  async #watchOnce(): Promise<boolean> {
    const { platform } = this.#parts;
    try {
      const answer = await platform.watch(CONFIG_KEY, this.#seen, this.#waitMs);
      if (answer === undefined) {
        return this.#probe();
      }
      answer.records.forEach(({ value }) => {
        this.#offer(value);
      });
      this.#seen = answer.revision;
      return true;
    } catch (error) {
      return this.#handleFailure(error);
    }
  }

  async #probe(): Promise<boolean> {
    try {
      await this.#parts.platform.get(PROBE_KEY);
      return true;
    } catch (error) {
      return this.#handleFailure(error);
    }
  }

  #handleFailure(error: unknown): boolean {
    const fault = error instanceof PlatformError ? error.fault.kind : "broken";
    this.#parts.log.warn("config-watch-failed", {
      step: "watch",
      peer: "platform",
      fault,
    });
    return fault === "rate-limited";
  }

  #offer(value: string): void {
    const { offer, log } = this.#parts;
    const { revision, document } = JSON.parse(value) as {
      revision: number;
      document: unknown;
    };
    const checked = checkConfig(document);
    if (checked.kind === "invalid") {
      log.error("config-invalid", { path: checked.faults.at(0)?.path });
      return;
    }
    offer({ revision, document: checked.document });
  }
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs).unref();
  });
}
