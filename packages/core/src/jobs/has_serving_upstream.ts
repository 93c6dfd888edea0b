import type { InstanceState } from "../instance/types.ts";

/**
 * Returns whether the own data centre has an upstream of a service that is not
 * leaving.
 */
export function hasServingUpstream(
  { upstreams, self }: InstanceState,
  service: string,
): boolean {
  return Object.values(upstreams).some(
    (upstream) =>
      upstream.service === service &&
      upstream.dataCentre === self.dataCentre &&
      !upstream.isLeaving,
  );
}
