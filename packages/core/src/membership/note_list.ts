import type { DataCentreId, InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { MEMBERSHIP_TIMES } from "./membership_times.ts";
import type { ListedInstance, Member } from "./types.ts";

/**
 * Takes up the platform's list as a hint: unknown instances are added, and
 * those that are neither listed nor heard any more are forgotten.
 */
export function noteList(
  state: InstanceState,
  listed: readonly ListedInstance[],
): Step {
  const { membership, self } = state;
  const known = membership.members;
  const named = listed
    .filter(({ instanceId }) => instanceId !== self.instanceId)
    .map((one): readonly [string, Member] => [
      one.instanceId,
      { ...(known[one.instanceId] ?? createMember(one)), isListed: true },
    ]);
  const byName = Object.fromEntries(named);
  const forgetMs = membership.steppedMs - MEMBERSHIP_TIMES.EXPIRE_MS;
  const others = Object.entries(known)
    .filter(([id]) => byName[id] === undefined)
    .filter(([, { heardMs }]) => heardMs > 0 && heardMs >= forgetMs)
    .map(([id, member]): readonly [string, Member] => [
      id,
      { ...member, isListed: false },
    ]);
  const members = { ...Object.fromEntries(others), ...byName };
  return {
    state: { ...state, membership: { ...membership, members } },
    effects: [],
  };
}

function createMember(listed: ListedInstance): Member {
  return {
    instanceId: listed.instanceId as InstanceId,
    dataCentre: listed.dataCentre as DataCentreId,
    address: listed.address,
    incarnation: "",
    heardMs: 0,
    revision: 0,
    isStopping: listed.state === "leaving",
    number: 0,
    heardSentMs: 0,
    confirmedMs: 0,
    retired: 0,
    isListed: true,
  };
}
