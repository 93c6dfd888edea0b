import type { DataCentreId, InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { MEMBERSHIP } from "./constants.ts";
import type { ListedInstance, Member } from "./types.ts";

/**
 * Takes up listed instances that are not known yet. A whole list, as the
 * platform gives it, also drops those that it lacks and that were silent for
 * long; peers in contact stay, whatever the list says.
 */
export function mergeInstanceList(
  state: InstanceState,
  {
    instances,
    isWhole,
  }: {
    readonly instances: readonly ListedInstance[];
    readonly isWhole?: boolean;
  },
  nowMs: number,
): Step {
  const fresh = instances
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
        number: 0,
        heardSentMs: 0,
        confirmedMs: 0,
        retired: 0,
        isListed: true,
      },
    ]);
  const listedIds = new Set(instances.map(({ instanceId }) => instanceId));
  const kept = Object.entries(state.membership.members).filter(
    ([id, { heardMs }]) =>
      isWhole !== true ||
      listedIds.has(id) ||
      nowMs - heardMs < MEMBERSHIP.FORGET_MS,
  );
  const hasList =
    state.membership.hasList || listedIds.has(state.self.instanceId);
  const marked = kept.map(([id, member]): readonly [string, Member] => {
    const isListed = listedIds.has(id) || (isWhole !== true && member.isListed);
    return [id, { ...member, isListed }];
  });
  const members = Object.fromEntries([...marked, ...fresh]);
  const membership = { ...state.membership, members, hasList };
  return { state: { ...state, membership }, effects: [] };
}
