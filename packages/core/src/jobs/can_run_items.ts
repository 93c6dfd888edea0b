import type { InstanceState } from "../instance/types.ts";
import type { Upstream } from "../upstreams/types.ts";
import { hasServingUpstream } from "./has_serving_upstream.ts";
import { listServices } from "./list_services.ts";

/**
 * Whether items of owned segments may run at an upstream: at those of the own
 * data centre, or at any while the own one has none in service.
 */
export function canRunItems(state: InstanceState, upstream: Upstream): boolean {
  const { service, dataCentre } = upstream;
  return (
    listServices(state).includes(service) &&
    (dataCentre === state.self.dataCentre ||
      !hasServingUpstream(state, service))
  );
}
