import type { StopTimes } from "./types.ts";

/**
 * Whether a request that arrived at `receivedMs` and may take `limitMs` comes too
 * late in a planned stop: after the notice, and with more time than is left. One
 * that came before is let in, as its caller can't know and most are short.
 */
export function isTooLate(
  stop: StopTimes | undefined,
  receivedMs: number,
  limitMs: number,
): boolean {
  return (
    stop !== undefined &&
    receivedMs >= stop.noticeEndMs &&
    receivedMs + limitMs > stop.endMs
  );
}
