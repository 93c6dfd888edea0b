import { DUTIES, type FleetMember } from "@gooseberryline/core";
import type { FleetView } from "@gooseberryline/gateway";
import { createView } from "./create_view.ts";
import type { PlacingCounts, PlacingOptions } from "./types.ts";
import { VirtualEdge } from "./virtual_edge.ts";
import { VirtualFleet } from "./virtual_fleet.ts";
import { VirtualLink } from "./virtual_link.ts";
import { VirtualWorker } from "./virtual_worker.ts";

/** Creates an instance that serves callers. */
type CreateServer = (
  fleet: VirtualFleet,
  view: FleetView,
) => { readonly start: () => void };

/** Simulates how a fleet places online requests and items, in virtual time. */
export function simulatePlacing(
  options: PlacingOptions,
  createServer: CreateServer = createEdge,
): PlacingCounts {
  const fleet = new VirtualFleet(options);
  const { clock } = fleet;
  const entries = [...fleet.upstreams.values()].map(({ entry }) => entry);
  const create = (duty: "serve" | "run") => (_: unknown, n: number) =>
    createView(
      `${duty}-${n}`,
      `dc${n % options.dataCentres}`,
      duty,
      entries,
      () => clock.nowMs,
      options.crossingMsPerKb,
    );
  const edges = Array.from({ length: options.edges }, create(DUTIES.serve));
  const workers = Array.from({ length: options.workers }, create(DUTIES.run));
  const views = [...edges, ...workers];
  const links = new Map<string, VirtualLink>();
  views.forEach((view) => {
    views.forEach((other) => {
      view.members.set(buildMember(other));
    });
    const link = new VirtualLink(fleet, view, links);
    links.set(view.settings.instanceId, link);
  });
  [...links.values()].forEach((link) => {
    link.start();
  });
  edges.forEach((view) => {
    createServer(fleet, view).start();
  });
  workers.forEach((view) => {
    new VirtualWorker(fleet, view).start();
  });
  clock.runUntil(options.forMs);
  return fleet.counts;
}

function createEdge(...parts: Parameters<CreateServer>): VirtualEdge {
  return new VirtualEdge(...parts);
}

function buildMember({ settings, incarnation }: FleetView): FleetMember {
  return {
    id: settings.instanceId,
    incarnation,
    address: settings.host,
    port: settings.peerPort,
    relayPort: settings.relayPort,
    dataCentre: settings.dataCentre,
    duty: settings.duty,
  };
}
