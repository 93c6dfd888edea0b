import type { ConfigDocument } from "../config/types.ts";
import type { DataCentreId, ServiceName, UpstreamId } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";
import type { Upstream } from "./types.ts";

/** Builds the upstream table of a document, keeping what is in flight. */
export function buildUpstreams(
  before: Table<Upstream>,
  document: ConfigDocument,
): Table<Upstream> {
  return Object.fromEntries(
    Object.entries(document.upstreams).map(([id, config]) => {
      const known = before[id];
      const upstream: Upstream = {
        upstreamId: id as UpstreamId,
        service: config.service as ServiceName,
        dataCentre: config.dataCentre as DataCentreId,
        maxConcurrency: config.maxConcurrency,
        allowance: config.maxConcurrency,
        inFlight: known?.inFlight ?? 0,
        batchInFlight: known?.batchInFlight ?? 0,
        isLeaving: document.dataCentres[config.dataCentre]?.state === "out",
      };
      return [id, upstream];
    }),
  );
}
