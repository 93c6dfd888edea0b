import type { InstanceState } from "../instance/types.ts";

/**
 * Returns whether the own data centre is evacuated while another is in service.
 * Segments should then be owned by instances of the other data centre.
 */
export function isOwnDataCentreEvacuated({
  config,
  self,
}: InstanceState): boolean {
  const dataCentres = config?.document.dataCentres ?? {};
  const isOtherInService = Object.values(dataCentres).some(
    ({ state }) => state === "in",
  );
  return dataCentres[self.dataCentre]?.state === "out" && isOtherInService;
}
