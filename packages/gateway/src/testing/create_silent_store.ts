import type { MetadataFailure, MetadataStore } from "@gooseberryline/core";
import { waitMs } from "../wait_ms.ts";
import type { PlayedRecord } from "./played_record.ts";

const CALL_TIMEOUT_MS = 1_500;
const WATCH_TIMEOUT_MARGIN_MS = 700;
const FAILED = {
  kind: "failed",
  isUndone: false,
  step: "play",
  reason: "silent",
} as const;

type DirectState = { readonly isCutOff: boolean };

/** Creates a store that answers late, and not at all once it is cut off. */
export function createSilentStore(
  record: PlayedRecord,
  state: DirectState,
  answerMs: number,
): MetadataStore {
  const answerCall = async <Answer>(
    build: () => Answer,
  ): Promise<Answer | MetadataFailure> => {
    if (state.isCutOff) {
      return waitUnanswered(CALL_TIMEOUT_MS);
    }
    await waitMs(answerMs);
    return build();
  };
  const refuse = async (): Promise<MetadataFailure> => FAILED;
  return {
    readKey: refuse,
    commit: refuse,
    grantLease: refuse,
    releaseLease: refuse,
    listPage: () => answerCall(() => record.list()),
    renewLease: (leaseId) =>
      answerCall(() => ({ kind: "lease", leaseId, ttlMs: 3_000 }) as const),
    watchPrefix: async (_, after, watchMs, signal) => {
      const timeoutMs = watchMs + WATCH_TIMEOUT_MARGIN_MS;
      if (state.isCutOff) {
        return waitUnanswered(timeoutMs, signal);
      }
      const changes = await Promise.race([
        record.watch(after, watchMs),
        waitForAbort(signal),
      ]);
      await Promise.race([waitMs(answerMs), waitForAbort(signal)]);
      // Silence also befalls a watch that had begun.
      return state.isCutOff || changes === undefined
        ? waitUnanswered(timeoutMs, signal)
        : changes;
    },
  };
}

/** Answers nothing until a timeout, or until the caller gives up. */
async function waitUnanswered(
  timeoutMs: number,
  signal?: AbortSignal,
): Promise<MetadataFailure> {
  await Promise.race([waitMs(timeoutMs), waitForAbort(signal)]);
  return FAILED;
}

function waitForAbort(signal?: AbortSignal): Promise<undefined> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve(undefined);
    }
    signal?.addEventListener("abort", () => resolve(undefined));
  });
}
