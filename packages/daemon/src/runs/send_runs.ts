import type { InstanceState, RunRecord } from "@gooseberryline/core";
import type { PeerTask } from "../peers/peer_task.ts";

/**
 * Sends run records to a peer with a disk, trying peers in the own data centre
 * first; rejects if no peer accepted them.
 */
export async function sendRuns(
  runs: readonly RunRecord[],
  {
    peers,
    readState,
  }: { readonly peers: PeerTask; readonly readState: () => InstanceState },
): Promise<void> {
  const { self, membership } = readState();
  const peersWithDisk = Object.values(membership.members)
    .filter(({ hasDisk, isStopping }) => hasDisk && !isStopping)
    .toSorted(
      (a, b) =>
        Number(b.dataCentre === self.dataCentre) -
          Number(a.dataCentre === self.dataCentre) ||
        b.lastSeenMs - a.lastSeenMs,
    );
  const isStored = await peersWithDisk.reduce(
    async (done, { address }) =>
      (await done) ||
      peers.queryAddress(address, "keep-runs", { runs }).then(
        () => true,
        () => false,
      ),
    Promise.resolve(false),
  );
  if (!isStored) {
    throw new Error(
      `none of ${peersWithDisk.length} peers with a disk accepted the run records`,
    );
  }
}
