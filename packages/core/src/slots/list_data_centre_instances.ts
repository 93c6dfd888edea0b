import type { DataCentreId, InstanceId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";

/** Lists the known instances of a data centre, including this one. */
export function listDataCentreInstances(
  state: InstanceState,
  dataCentre: DataCentreId,
): readonly InstanceId[] {
  const others = Object.values(state.membership.members)
    .filter((member) => member.dataCentre === dataCentre)
    .map(({ instanceId }) => instanceId)
    .filter((id) => id !== state.self.instanceId);
  return state.self.dataCentre === dataCentre
    ? [state.self.instanceId, ...others]
    : others;
}
