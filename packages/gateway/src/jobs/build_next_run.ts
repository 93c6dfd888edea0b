import { JOB_CONSTANTS } from "./constants.ts";
import type { ItemRun } from "./item_run.ts";
import type { ItemRunEnd, WaitingItem } from "./types.ts";

/** Builds an item as it waits to run again after a run that ended. */
export function buildNextRun(
  run: ItemRun,
  end: ItemRunEnd,
  failures: number,
  nowMs: number,
): WaitingItem {
  const { waiting, upstream, isYielded } = run;
  const delayMs =
    end.kind === "unbuilt"
      ? JOB_CONSTANTS.UNBUILT_RETRY_DELAY_MS
      : JOB_CONSTANTS.ITEM_RETRY_DELAY_MS;
  return {
    ...waiting,
    text: end.text,
    ranMs: run.describe().ranMs,
    failures,
    tried: isYielded ? waiting.tried : new Set([upstream.id]),
    // A yielded run did not fail, so it may restart at once and anywhere.
    notBeforeMs: isYielded ? 0 : nowMs + delayMs,
  };
}
