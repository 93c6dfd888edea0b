import {
  type Config,
  checkConfig,
  type PlatformRecord,
} from "@gooseberryline/core";
import type { Platform } from "@gooseberryline/protocol";
import type { Log } from "../logs/create_log.ts";

/** Key of the operators' configuration in the platform's service. */
const CONFIG_KEY = "config/current";
const RETRY_MS = 500;

/** A running watch of the configuration. */
export type ConfigWatch = { readonly stop: () => void };

/** Watches the configuration and offers each accepted revision. */
export function watchConfig(
  platform: Platform,
  offer: (config: Config) => void,
  log: Log,
): ConfigWatch {
  const control = { isStopped: false };
  const follow = async (): Promise<void> => {
    const seen = { revision: 0 };
    while (!control.isStopped) {
      try {
        const answer = await platform.watch(CONFIG_KEY, seen.revision);
        seen.revision = Math.max(seen.revision, answer.revision);
        answer.records.forEach((record) => {
          offerRecord(record, offer, log);
        });
      } catch (error) {
        log.warn("config-watch-failed", {
          step: "watch",
          peer: "platform",
          message: String(error),
        });
        await wait(RETRY_MS);
      }
    }
  };
  void follow();
  return {
    stop: () => {
      control.isStopped = true;
    },
  };
}

function offerRecord(
  record: PlatformRecord,
  offer: (config: Config) => void,
  log: Log,
): void {
  const { revision, document } = JSON.parse(record.value) as {
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

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs).unref();
  });
}
