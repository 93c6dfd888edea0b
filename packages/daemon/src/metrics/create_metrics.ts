import { StatsD } from "hot-shots";
import type { Settings } from "../settings/types.ts";
import type { Metrics } from "./types.ts";

const PREFIX = "gooseberryline.";

/**
 * Creates the StatsD metrics of an instance; without settings all metrics are
 * discarded.
 */
export function createMetrics(
  settings: Settings["metrics"],
  tags: Readonly<Record<string, string>>,
): Metrics {
  if (settings === undefined) {
    const discard = () => undefined;
    return { count: discard, time: discard, gauge: discard, close: discard };
  }
  const client = new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: PREFIX,
    globalTags: { ...tags },
    errorHandler: () => undefined,
  });
  return {
    count: (name, metricTags = {}, by = 1) =>
      client.increment(name, by, { ...metricTags }),
    time: (name, valueMs, metricTags = {}) =>
      client.timing(name, valueMs, { ...metricTags }),
    gauge: (name, value, metricTags = {}) =>
      client.gauge(name, value, { ...metricTags }),
    close: () => client.close(),
  };
}
