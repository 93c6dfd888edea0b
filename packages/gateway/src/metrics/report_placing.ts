import type { EventLog } from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import type { GatewayMetrics } from "./create_gateway_metrics.ts";

const PERCENT = 100;

/** Logs and counts what placing learns of upstreams' speeds, and what leaves. */
export function reportPlacing(
  view: FleetView,
  log: EventLog,
  metrics: Pick<GatewayMetrics, "recordCrossing">,
): void {
  view.speeds.onChange = (upstream, slowness) =>
    log.info("upstream-speed", { upstream, slowness });
  view.leaving.onCrossing = metrics.recordCrossing;
  view.leaving.onChange = (service, to, share, { gainMs, costMs }) =>
    log.info("requests-leave", {
      service,
      to,
      percent: Math.round(share * PERCENT),
      gainMs: Math.round(gainMs),
      costMs: Math.round(costMs),
    });
}
