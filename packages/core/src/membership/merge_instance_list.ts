import type { DataCentreId, InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { MEMBERSHIP } from "./constants.ts";
import type { ListedInstance, Member, MembershipState } from "./types.ts";

/**
 * Adds listed instances that are not members yet. A complete list, as the
 * platform returns it, also removes members that it lacks and that have sent
 * no heartbeat for `REMOVAL_MS`, and names the address of a silent member, which
 * may have been started anew elsewhere. Members that still send heartbeats are
 * kept even if they are not listed, at the address that they name.
 */
export function mergeInstanceList(
  state: InstanceState,
  {
    instances,
    isComplete,
  }: {
    readonly instances: readonly ListedInstance[];
    readonly isComplete?: boolean;
  },
  nowMs: number,
): Step {
  const added = instances
    .filter(({ instanceId }) => instanceId !== state.self.instanceId)
    .filter(
      ({ instanceId }) => state.membership.members[instanceId] === undefined,
    )
    .map((listed): readonly [string, Member] => [
      listed.instanceId,
      {
        instanceId: listed.instanceId as InstanceId,
        dataCentre: listed.dataCentre as DataCentreId,
        address: listed.address,
        incarnation: "",
        lastSeenMs: 0,
        revision: 0,
        isStopping: listed.state === "leaving",
        isWatchBroken: false,
        hasDisk: false,
        number: 0,
        lastSentMs: 0,
        confirmedMs: 0,
        retired: 0,
        isListed: true,
      },
    ]);
  const addresses = new Map(
    instances.map(({ instanceId, address }) => [instanceId, address]),
  );
  const listedIds = new Set(addresses.keys());
  const retained = Object.entries(state.membership.members).filter(
    ([id, { lastSeenMs }]) =>
      isComplete !== true ||
      listedIds.has(id) ||
      nowMs - lastSeenMs < MEMBERSHIP.REMOVAL_MS,
  );
  const isSelfListed =
    state.membership.isSelfListed || listedIds.has(state.self.instanceId);
  const updated = retained.map(([id, member]): readonly [string, Member] => {
    const isListed =
      listedIds.has(id) || (isComplete !== true && member.isListed);
    const isSilent =
      nowMs - member.lastSeenMs >= MEMBERSHIP.LIVENESS_TIMEOUT_MS;
    const listed =
      isComplete === true && isSilent ? addresses.get(id) : undefined;
    return [id, { ...member, isListed, address: listed ?? member.address }];
  });
  const members = Object.fromEntries([...updated, ...added]);
  const membership: MembershipState = {
    ...state.membership,
    members,
    isSelfListed,
  };
  return { state: { ...state, membership }, effects: [] };
}
