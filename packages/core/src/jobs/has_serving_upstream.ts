import type { InstanceState } from "../instance/types.ts";

/** Whether the instance's data centre has an upstream of a service in use. */
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
