import type { InstanceState } from "../instance/types.ts";
import { listDataCentreInstances } from "./list_data_centre_instances.ts";

/** Returns whether no other instance of the own data centre is listed. */
export function isOnlyInstance(state: InstanceState): boolean {
  const { membership, self } = state;
  return (
    membership.isSelfListed &&
    listDataCentreInstances(state, self.dataCentre).length === 1
  );
}
