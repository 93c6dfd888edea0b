import type { Policy } from "./types.ts";

/** Default policy of every instance; only measurements use a different one. */
export const PRODUCT_POLICY: Policy = {
  canYield: true,
  isBatchExclusive: false,
  isQueueShared: false,
  hasRamp: true,
};
