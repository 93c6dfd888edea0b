import type { InstanceId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { JOBS } from "./constants.ts";

const COPY_COUNT = 2;

/**
 * Chooses two disks for a result file: the own disk first, then those of peers,
 * in different data centres where possible. Returns fewer if no more qualify.
 * `avoid` excludes disks of peers only.
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
  const eligiblePeers = Object.values(membership.members)
    .filter(({ hasDisk, isStopping }) => hasDisk && !isStopping)
    .filter(({ lastSeenMs, dataCentre }) => {
      const isLocal = dataCentre === self.dataCentre;
      const limitMs = isLocal
        ? JOBS.DISK_PEER_TIMEOUT_MS
        : JOBS.REMOTE_DISK_PEER_TIMEOUT_MS;
      return nowMs - lastSeenMs < limitMs;
    })
    .filter(({ instanceId }) => !avoid.includes(instanceId));
  const peerIds = eligiblePeers.map(({ instanceId }) => instanceId);
  const rankedPeerIds = rankByRendezvous(key, peerIds);
  const ownDisks = self.hasDisk ? [self.instanceId] : [];
  const getDataCentre = (id: InstanceId): string =>
    id === self.instanceId
      ? self.dataCentre
      : (membership.members[id]?.dataCentre ?? "");
  return Array.from({ length: COPY_COUNT }).reduce<readonly InstanceId[]>(
    (chosen) => {
      const usedDataCentres = chosen.map(getDataCentre);
      const remaining = [...ownDisks, ...rankedPeerIds].filter(
        (id) => !chosen.includes(id),
      );
      const [first] = chosen;
      const next =
        first === undefined
          ? remaining[0]
          : (remaining.find(
              (id) => !usedDataCentres.includes(getDataCentre(id)),
            ) ?? remaining[0]);
      return next === undefined ? chosen : [...chosen, next];
    },
    [],
  );
}
