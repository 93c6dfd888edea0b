import { StatsD } from "hot-shots";
import type { Settings } from "../settings/types.ts";
import type { Metrics } from "./types.ts";

const PREFIX = "gooseberryline.";

/** Creates the metrics of an instance; without settings they go nowhere. */
export function createMetrics(
  settings: Settings["metrics"],
  tags: Readonly<Record<string, string>>,
): Metrics {
  if (settings === undefined) {
    const drop = () => undefined;
    return { count: drop, time: drop, gauge: drop, close: drop };
  }
  const client = new StatsD({
    host: settings.host,
    port: settings.port,
    prefix: PREFIX,
    globalTags: { ...tags },
    errorHandler: () => undefined,
  });
  return {
    count: (name, own = {}, by = 1) => client.increment(name, by, { ...own }),
    time: (name, valueMs, own = {}) => client.timing(name, valueMs, { ...own }),
    gauge: (name, value, own = {}) => client.gauge(name, value, { ...own }),
    close: () => client.close(),
  };
}
