import type { DirectPath } from "./types.ts";

/** Times of the direct path to the metadata store. */
export const STORE_PATHS = {
  /** Time from an unanswered call to the first probe, in ms. */
  MIN_PROBE_DELAY_MS: 1_000,
  /**
   * Longest time between two probes, in ms; it doubles up to this. Calls go by
   * way of a peer for as long after the path has healed.
   */
  MAX_PROBE_DELAY_MS: 4_000,
  SOUND: { kind: "sound" } as DirectPath,
} as const;
