/** What an instance knows of the upstreams it may send work to. */
import type { DataCentreId, ServiceName, UpstreamId } from "../ids/types.ts";

/** One upstream as this instance sees it. */
export type Upstream = {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  readonly dataCentre: DataCentreId;
  readonly maxConcurrency: number;
  /** Concurrency that this instance grants at present. */
  readonly allowance: number;
  readonly inFlight: number;
  readonly batchInFlight: number;
  /** Set while the platform or the configuration takes it out of service. */
  readonly isLeaving: boolean;
};
