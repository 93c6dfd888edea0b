/** What the upstream of `startServing` does. */
export const SERVING = {
  STREAM_MS: 200,
  SLOW_MS: 400,
  /** More than the kernel's buffers hold for a caller that doesn't read. */
  LARGE_BYTES: 8_000_000,
} as const;
