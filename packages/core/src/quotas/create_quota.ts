import type { Quota } from "./types.ts";

/**
 * Creates a bucket that holds `tokens`: what was spent before a restart is not
 * known, and a full one would let a window hold two bursts.
 */
export function createQuota(nowMs: number, tokens: number): Quota {
  const atMs = nowMs;
  return { tokens, atMs, createdMs: nowMs, admitted: 0, peers: new Map() };
}
