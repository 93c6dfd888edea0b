import type { Duty } from "@gooseberryline/core";
import { FleetView } from "../fleet/fleet_view.ts";
import type { GatewaySettings } from "../settings/types.ts";

/** Creates the view of a single instance that has just started, for tests. */
export function createView(
  duty: Duty = "serve",
  fields: Partial<GatewaySettings> = {},
): FleetView {
  const settings = {
    instanceId: "i1",
    dataCentre: "a",
    duty,
    host: "127.0.0.1",
    peerPort: 0,
    relayPort: 0,
    callers: undefined,
    readiness: undefined,
    metrics: undefined,
    graceMs: 1_000,
    isFirstStart: false,
    quotaSlack: 20,
    ramp: { over: 1, slack: 1 },
    ...fields,
  };
  return new FleetView(settings, "1", () => performance.now());
}
