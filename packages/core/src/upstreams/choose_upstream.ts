import type { ServiceName } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";
import type { Upstream } from "./types.ts";

/** Chooses the least loaded upstream of a service that has a free place. */
export function chooseUpstream(
  upstreams: Table<Upstream>,
  service: ServiceName,
): Upstream | undefined {
  return Object.values(upstreams)
    .filter((upstream) => upstream.service === service)
    .filter((upstream) => !upstream.isLeaving)
    .filter((upstream) => upstream.inFlight < upstream.allowance)
    .sort((a, b) => a.inFlight / a.allowance - b.inFlight / b.allowance)
    .at(0);
}
