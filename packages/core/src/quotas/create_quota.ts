import type { Quota } from "./types.ts";

/**
 * Creates an empty bucket: what was spent before a restart is not known, and
 * a full one would let a window hold two bursts.
 */
export function createQuota(nowMs: number): Quota {
  return { tokens: 0, atMs: nowMs, admitted: 0, peers: new Map() };
}
