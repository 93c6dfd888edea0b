import type { MetadataFailure, MetadataStore } from "@gooseberryline/core";
import { waitMs } from "../wait_ms.ts";
import type { WatcherTrouble } from "./types.ts";

const CALL_TIMEOUT_MS = 1_500;
const WATCH_MARGIN_MS = 700;

/** Wraps a store that does not answer an instance, or only not its watches. */
export function createMutedStore(
  store: MetadataStore,
  getTrouble: () => WatcherTrouble | undefined,
): MetadataStore {
  const isDeaf = (): boolean => ["cut", "deaf"].includes(getTrouble() ?? "");
  const guard = async <Answer>(
    step: string,
    call: () => Promise<Answer>,
  ): Promise<Answer | MetadataFailure> => {
    if (getTrouble() !== "cut") {
      return call();
    }
    await waitMs(CALL_TIMEOUT_MS);
    return fail(step);
  };
  return {
    ...store,
    listPage: (...args) => guard("list", () => store.listPage(...args)),
    renewLease: (id) => guard("keep", () => store.renewLease(id)),
    watchPrefix: async (prefix, after, wait, signal) => {
      const answer = await store.watchPrefix(prefix, after, wait, signal);
      if (!isDeaf()) {
        return answer;
      }
      // The answer is lost: the call ends with its time.
      await Promise.race([
        waitMs(wait + WATCH_MARGIN_MS),
        new Promise((resolve) => {
          signal?.addEventListener("abort", resolve);
        }),
      ]);
      return fail("watch");
    },
  };
}

function fail(step: string): MetadataFailure {
  return { kind: "failed", isUndone: false, step, reason: "played" };
}
