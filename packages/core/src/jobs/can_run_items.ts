import type { InstanceState } from "../instance/types.ts";
import type { Upstream } from "../upstreams/types.ts";
import { hasServingUpstream } from "./has_serving_upstream.ts";
import { listServices } from "./list_services.ts";

/**
 * Returns whether items of owned segments may run on an upstream. Upstreams of
 * other data centres are used only while the own one has none in service.
 */
export function canRunItems(state: InstanceState, upstream: Upstream): boolean {
  const { service, dataCentre } = upstream;
  return (
    listServices(state).includes(service) &&
    (dataCentre === state.self.dataCentre ||
      !hasServingUpstream(state, service))
  );
}
