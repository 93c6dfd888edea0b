import type { MetadataStore } from "@gooseberryline/core";

/** Tells of each answer of a store, and of each call without one. */
export function watchStoreContact(
  store: MetadataStore,
  onContact: (isReached: boolean) => void,
): MetadataStore {
  const observe =
    <Args extends unknown[], Answer extends { readonly kind: string }>(
      call: (...args: Args) => Promise<Answer>,
    ) =>
    async (...args: Args): Promise<Answer> => {
      const answer = await call(...args);
      onContact(answer.kind !== "failed");
      return answer;
    };
  return {
    readKey: observe(store.readKey),
    listPage: observe(store.listPage),
    // A watch that was ended early says nothing of the store.
    watchPrefix: async (prefix, after, waitMs, signal) => {
      const answer = await store.watchPrefix(prefix, after, waitMs, signal);
      if (signal?.aborted !== true) {
        onContact(answer.kind !== "failed");
      }
      return answer;
    },
    commit: observe(store.commit),
    grantLease: observe(store.grantLease),
    keepLease: observe(store.keepLease),
    endLease: observe(store.endLease),
  };
}
