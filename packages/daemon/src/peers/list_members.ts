import type { InstanceState, ListedInstance } from "@gooseberryline/core";

/** Lists this instance and its known members in the platform's format. */
export function listMembers({
  self,
  isStopping,
  membership,
}: InstanceState): readonly ListedInstance[] {
  const own = { ...self, isStopping };
  return [own, ...Object.values(membership.members)].map((member) => ({
    instanceId: member.instanceId,
    address: member.address,
    dataCentre: member.dataCentre,
    state: member.isStopping ? "leaving" : "live",
  }));
}
