import type { EventLog } from "@gooseberryline/core";
import type { ItemRun } from "./item_run.ts";
import type { ItemRunEnd } from "./types.ts";

/** Logs how a run of an item ended, and what follows. */
export function logRunEnd(
  log: EventLog,
  run: ItemRun,
  end: ItemRunEnd,
  step: string,
): void {
  log.info("item-run-ended", {
    jobId: run.waiting.jobId,
    itemId: run.waiting.item.id,
    upstream: run.upstream.id,
    end: end.kind,
    reason: "reason" in end ? end.reason : undefined,
    status: "status" in end ? end.status : undefined,
    events: end.text.texts.length,
    ranMs: Math.round(run.measureRunMs()),
    step,
  });
}
