import type { MetadataStore } from "@gooseberryline/core";

/** Tells of each answer of a store, and of each call without one. */
export function watchStoreContact(
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
    // A watch that was ended early says nothing of the store.
    watchPrefix: async (prefix, after, waitMs, signal) => {
      const answer = await store.watchPrefix(prefix, after, waitMs, signal);
      if (signal?.aborted !== true) {
        onContact(answer.kind !== "failed");
      }
      return answer;
    },
    commit: addReport(store.commit),
    grantLease: addReport(store.grantLease),
    keepLease: addReport(store.keepLease),
    endLease: addReport(store.endLease),
  };
}
