import type { MetadataStore } from "@gooseberryline/core";

/** Wraps a store to report for each call whether the store answered. */
export function reportStoreContact(
  store: MetadataStore,
  onContact: (isReached: boolean) => void,
): MetadataStore {
  const addReport =
    <Args extends unknown[], Answer extends { readonly kind: string }>(
      call: (...args: Args) => Promise<Answer>,
    ) =>
    async (...args: Args): Promise<Answer> => {
      const answer = await call(...args);
      onContact(answer.kind !== "failed");
      return answer;
    };
  return {
    readKey: addReport(store.readKey),
    listPage: addReport(store.listPage),
    // An aborted watch does not show whether the store is reachable.
    watchPrefix: async (prefix, after, waitMs, signal) => {
      const answer = await store.watchPrefix(prefix, after, waitMs, signal);
      if (signal?.aborted !== true) {
        onContact(answer.kind !== "failed");
      }
      return answer;
    },
    commit: addReport(store.commit),
    grantLease: addReport(store.grantLease),
    renewLease: addReport(store.renewLease),
    releaseLease: addReport(store.releaseLease),
  };
}
