import type { MetadataStore } from "@gooseberryline/core";

/** Wraps a store so that the first call of one kind throws. */
export function failStoreOnce(
  store: MetadataStore,
  call: keyof MetadataStore,
): MetadataStore {
  const state = { hasFailed: false };
  return {
    ...store,
    [call]: (...args: never[]) => {
      if (!state.hasFailed) {
        state.hasFailed = true;
        return Promise.reject(new Error("a fault"));
      }
      return (store[call] as (...all: never[]) => unknown)(...args);
    },
  };
}
