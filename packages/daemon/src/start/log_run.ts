import type { RunRecord } from "@gooseberryline/core";
import type { Log } from "../logs/create_log.ts";
import type { Metrics } from "../metrics/types.ts";

/** Logs a run record and increments the attempt counter. */
export function logRun(
  run: RunRecord,
  { log, metrics }: { readonly log: Log; readonly metrics: Metrics },
): void {
  const { upstreamId: upstream, outcome } = run;
  log.info("run", {
    workId: run.workId,
    attemptId: run.attemptId,
    customer: run.customer,
    profile: run.profile,
    upstream,
    outcome,
  });
  metrics.count("attempts", { upstream, outcome });
}
