import { findQuantileBound } from "./find_quantile_bound.ts";
import type { InstanceSummary, MetricSample } from "./types.ts";

const PREFIX = "gooseberryline_";

/** Builds an instance's summary; undefined for another program's metrics. */
export function buildSummary(
  address: string,
  samples: readonly MetricSample[],
): InstanceSummary | undefined {
  const find = (name: string, outcome?: string) =>
    samples.filter(
      (sample) =>
        sample.name === `${PREFIX}${name}` &&
        (outcome === undefined || sample.labels.outcome === outcome),
    );
  const read = (name: string, outcome?: string): number =>
    find(name, outcome)[0]?.value ?? 0;
  if (find("requests_open").length === 0) {
    return undefined;
  }
  const buckets = find("request_ms_bucket", "answered");
  return {
    address,
    answered: read("requests_total", "answered"),
    refused: read("requests_total", "refused"),
    brokenOff: read("requests_total", "broken-off"),
    callerLeft: read("requests_total", "caller-left"),
    p50Ms: findQuantileBound(buckets, 0.5),
    p99Ms: findQuantileBound(buckets, 0.99),
    open: read("requests_open"),
    itemsRunning: read("items_running"),
    upstreams: read("upstreams_known"),
  };
}
