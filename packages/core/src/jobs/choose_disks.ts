import type { InstanceId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { JOBS } from "./constants.ts";

const COPIES = 2;

/**
 * Chooses the disks of a result file: the own one first, then peers', in
 * other data centres where possible. Fewer than two when no more are known.
 */
export function chooseDisks(
  state: InstanceState,
  key: string,
  {
    nowMs,
    avoid,
  }: { readonly nowMs: number; readonly avoid: readonly string[] },
): readonly InstanceId[] {
  const { self, membership } = state;
  const peers = Object.values(membership.members)
    .filter(({ hasDisk, isStopping }) => hasDisk && !isStopping)
    .filter(({ heardMs, dataCentre }) => {
      const isNear = dataCentre === self.dataCentre;
      const limitMs = isNear ? JOBS.DISK_HEARD_MS : JOBS.FAR_DISK_HEARD_MS;
      return nowMs - heardMs < limitMs;
    })
    .filter(({ instanceId }) => !avoid.includes(instanceId));
  const ids = peers.map(({ instanceId }) => instanceId);
  const ranked = rankByRendezvous(key, ids);
  const own = self.hasDisk ? [self.instanceId] : [];
  const placeOf = (id: InstanceId): string =>
    id === self.instanceId
      ? self.dataCentre
      : (membership.members[id]?.dataCentre ?? "");
  return Array.from({ length: COPIES }).reduce<readonly InstanceId[]>(
    (chosen) => {
      const places = chosen.map(placeOf);
      const rest = [...own, ...ranked].filter((id) => !chosen.includes(id));
      const [first] = chosen;
      const next =
        first === undefined
          ? rest[0]
          : (rest.find((id) => !places.includes(placeOf(id))) ?? rest[0]);
      return next === undefined ? chosen : [...chosen, next];
    },
    [],
  );
}
