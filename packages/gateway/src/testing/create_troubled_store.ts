import type { MetadataFailure, MetadataStore } from "@gooseberryline/core";
import { waitMs } from "../wait_ms.ts";
import type { PlayedRecord } from "./played_record.ts";
import type { StoreTrouble } from "./types.ts";

const CALL_TIMEOUT_MS = 1_500;
const WATCH_TIMEOUT_MARGIN_MS = 700;
const ANSWER_MS = 4;
const SLOW_ANSWER_MS = 700;
const FAILED = {
  kind: "failed",
  isUndone: false,
  step: "play",
  reason: "trouble",
} as const;

/** The trouble that an instance has with the store at the moment. */
type TroubleState = { readonly trouble: StoreTrouble | undefined };

/** Creates an instance's connection to a store, with trouble that may change. */
export function createTroubledStore(
  record: PlayedRecord,
  state: TroubleState,
): MetadataStore {
  const counts = { answers: 0 };
  /** Passes an answer on, or what becomes of it in the present trouble. */
  const passAnswer = async <Answer>(
    answer: Answer,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<Answer | MetadataFailure> => {
    counts.answers += 1;
    switch (state.trouble) {
      case "silent":
        return waitUnanswered(timeoutMs, signal);
      case "busy":
      case "reset":
        return FAILED;
      case "slow":
        await Promise.race([waitMs(SLOW_ANSWER_MS), waitForAbort(signal)]);
        return answer;
      case "lossy":
        return counts.answers % 2 === 0
          ? answer
          : waitUnanswered(timeoutMs, signal);
      case undefined:
        return answer;
    }
  };
  const answerCall = async <Answer>(build: () => Answer) => {
    await waitMs(ANSWER_MS);
    return passAnswer(build(), CALL_TIMEOUT_MS);
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
      if (state.trouble === "busy" || state.trouble === "reset") {
        return FAILED;
      }
      const changes = await Promise.race([
        record.watch(after, watchMs),
        waitForAbort(signal),
      ]);
      await Promise.race([waitMs(ANSWER_MS), waitForAbort(signal)]);
      return changes === undefined
        ? FAILED
        : passAnswer(changes, timeoutMs, signal);
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
