import type { RequestReport } from "../caller/types.ts";
import type { Log } from "../logs/create_log.ts";
import type { Metrics } from "./types.ts";

/**
 * Logs and counts a request that has ended; the tenant key and body are never
 * included.
 */
export function reportRequest(
  report: RequestReport,
  { log, metrics }: { readonly log: Log; readonly metrics: Metrics },
): void {
  const { requestId, order, status, end } = report;
  const { firstWriteMs, totalMs, upstreams } = report;
  const { customer, profile, service } = order;
  const tags = { customer, profile, service };
  const fault = end.kind === "refused" ? end.refusal.fault : undefined;
  log.info("request", {
    requestId,
    workId: order.workId,
    ...tags,
    status,
    end: end.kind,
    attempts: upstreams.length,
    upstream: upstreams.at(-1),
    code: fault?.code,
    step: fault?.step,
    peer: fault?.peer,
    run: end.kind === "refused" ? end.refusal.run : undefined,
    firstWriteMs: toTenths(firstWriteMs),
    totalMs: toTenths(totalMs),
  });
  metrics.count("requests", { ...tags, end: end.kind });
  if (upstreams.length > 1) {
    metrics.count("retries", tags, upstreams.length - 1);
  }
  if (fault !== undefined) {
    metrics.count("refusals", { code: fault.code });
  }
  if (firstWriteMs !== undefined) {
    metrics.time("first_token_ms", firstWriteMs, tags);
  }
  if (end.kind === "answered") {
    metrics.time("total_ms", totalMs, tags);
  }
}

function toTenths(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms * 10) / 10;
}
