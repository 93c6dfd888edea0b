import type { RolloutBounds } from "./types.ts";

/** What an instance has sent since an order, and how far the order has come. */
type Exposure = Pick<RolloutBounds, "share" | "slack"> & {
  readonly sentNew: number;
  readonly sentOld: number;
  readonly elapsedMs: number;
  readonly durationMs: number;
};

/**
 * Returns whether one more request may go to the new version before it takes all:
 * what an instance sends there stays under the bound's share of what it will have
 * sent by the deadline, if its traffic goes on as it did. So a step that lasts
 * longer than planned costs no more.
 */
export function isWithinExposure({
  sentNew,
  sentOld,
  share,
  slack,
  elapsedMs,
  durationMs,
}: Exposure): boolean {
  const growth = Math.max(1, durationMs / Math.max(1, elapsedMs));
  const expected = (sentNew + sentOld + 1) * growth;
  return sentNew + 1 <= share * expected + slack;
}
