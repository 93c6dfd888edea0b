import type { Policy } from "./types.ts";

/** What every instance runs; only measurements run anything else. */
export const PRODUCT_POLICY: Policy = {
  canYield: true,
  isBatchExclusive: false,
  isQueueShared: false,
  hasRamp: true,
};
