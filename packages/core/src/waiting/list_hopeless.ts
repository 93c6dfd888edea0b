import { listWaiting } from "./list_waiting.ts";
import type { Pace, WaitingRequest, WaitingRoom } from "./types.ts";

/**
 * Lists the requests that can't be answered in time any more: their time to start
 * is over, or there are more than can start by then. Of those the ones that came
 * last are listed.
 */
export function listHopeless(
  room: WaitingRoom,
  { share, inFlight, meanServiceMs }: Pace,
  nowMs: number,
): readonly WaitingRequest[] {
  const gapMs = meanServiceMs / Math.max(share, Number.MIN_VALUE);
  const missing = Math.max(0, inFlight - share);
  return listWaiting(room)
    .toSorted((a, b) => a.endByMs - b.endByMs || a.id - b.id)
    .reduce<{ readonly kept: number; readonly gone: WaitingRequest[] }>(
      ({ kept, gone }, request) => {
        const startMs = nowMs + (missing + kept) * gapMs;
        return startMs <= request.endByMs
          ? { kept: kept + 1, gone }
          : { kept, gone: [...gone, request] };
      },
      { kept: 0, gone: [] },
    ).gone;
}
