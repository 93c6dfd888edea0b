import { BACKLOG } from "./constants.ts";
import type { BacklogDrain, BacklogSample } from "./types.ts";

/** Adds a measured backlog to the samples that the drain's speed follows from. */
export function updateBacklogDrain(
  previous: BacklogDrain | undefined,
  { atMs, waiting, accepted }: BacklogSample,
): BacklogDrain {
  const drained = accepted - waiting;
  const isRecent =
    previous !== undefined &&
    atMs - previous.firstMs <= BACKLOG.DRAIN_WINDOW_MS &&
    drained >= previous.lastDrained;
  const first = isRecent
    ? { firstMs: previous.firstMs, firstDrained: previous.firstDrained }
    : {
        firstMs: previous?.lastMs ?? atMs,
        firstDrained: Math.min(drained, previous?.lastDrained ?? drained),
      };
  return { ...first, lastMs: atMs, lastDrained: drained };
}
