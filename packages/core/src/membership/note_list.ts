import type { DataCentreId, InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { ListedInstance, Member } from "./types.ts";

/** Takes up instances that the platform lists and that are not known yet. */
export function noteList(
  state: InstanceState,
  listed: readonly ListedInstance[],
): Step {
  const fresh = listed
    .filter(({ instanceId }) => instanceId !== state.self.instanceId)
    .filter(
      ({ instanceId }) => state.membership.members[instanceId] === undefined,
    )
    .map((one): readonly [string, Member] => [
      one.instanceId,
      {
        instanceId: one.instanceId as InstanceId,
        dataCentre: one.dataCentre as DataCentreId,
        address: one.address,
        incarnation: "",
        heardMs: 0,
        revision: 0,
        isStopping: one.state === "leaving",
        isWatchBroken: false,
        hasDisk: false,
      },
    ]);
  const members = {
    ...state.membership.members,
    ...Object.fromEntries(fresh),
  };
  const membership = { ...state.membership, members };
  return { state: { ...state, membership }, effects: [] };
}
