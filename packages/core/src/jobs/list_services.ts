import type { ServiceName } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";

/** Lists the services that the owned segments use. */
export function listServices({ jobs }: InstanceState): readonly ServiceName[] {
  const services = Object.values(jobs.owned).flatMap(({ jobId }) => {
    const service = jobs.known[jobId]?.record.spec.service;
    return service === undefined ? [] : [service];
  });
  return [...new Set(services)];
}
