import type { Quota } from "./types.ts";

/**
 * Creates a token bucket with `tokens` rather than a full one. The usage before
 * a restart is unknown, and a full bucket would allow two bursts in one window.
 */
export function createQuota(nowMs: number, tokens: number): Quota {
  const atMs = nowMs;
  return { tokens, atMs, createdMs: nowMs, admitted: 0 };
}
