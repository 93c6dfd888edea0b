import type { InstanceState } from "../instance/types.ts";

/**
 * Whether the own data centre is taken out while another is in service: its
 * segments are better owned there.
 */
export function isOwnDataCentreOut({ config, self }: InstanceState): boolean {
  const dataCentres = config?.document.dataCentres ?? {};
  const isOtherIn = Object.values(dataCentres).some(
    ({ state }) => state === "in",
  );
  return dataCentres[self.dataCentre]?.state === "out" && isOtherIn;
}
