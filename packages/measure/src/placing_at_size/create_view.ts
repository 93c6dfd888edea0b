import type { Duty, UpstreamEntry } from "@gooseberryline/core";
import { FleetView } from "@gooseberryline/gateway";

/** Creates what one instance of a simulated fleet knows of it. */
export function createView(
  id: string,
  dataCentre: string,
  duty: Duty,
  upstreams: readonly UpstreamEntry[],
  readNowMs: () => number,
  crossingMsPerKb?: number,
): FleetView {
  const settings = {
    instanceId: id,
    dataCentre,
    duty,
    host: `host-${id}`,
    peerPort: 1,
    relayPort: 2,
    callers: undefined,
    readiness: undefined,
    metrics: undefined,
    graceMs: 1,
    isFirstStart: false,
    quotaSlack: 20,
    ramp: { over: 1, slack: 1 },
    crossingMsPerKb,
  } as const;
  const view = new FleetView(settings, "1", readNowMs);
  upstreams.forEach((entry) => {
    view.directory.set(entry);
  });
  return view;
}
