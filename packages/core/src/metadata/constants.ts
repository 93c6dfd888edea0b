/** Bounds of a metadata store. */
export const METADATA = {
  /** Longest key that the store holds, in bytes. */
  MAX_KEY_BYTES: 200,
} as const;
