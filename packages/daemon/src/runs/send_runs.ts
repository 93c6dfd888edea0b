import type { InstanceState, RunRecord } from "@gooseberryline/core";
import type { PeerTask } from "../peers/peer_task.ts";

/**
 * Hands run records to a peer with a disk, those of the own data centre
 * first; rejects where none took them.
 */
export async function sendRuns(
  runs: readonly RunRecord[],
  {
    peers,
    readState,
  }: { readonly peers: PeerTask; readonly readState: () => InstanceState },
): Promise<void> {
  const { self, membership } = readState();
  const keepers = Object.values(membership.members)
    .filter(({ hasDisk, isStopping }) => hasDisk && !isStopping)
    .toSorted(
      (a, b) =>
        Number(b.dataCentre === self.dataCentre) -
          Number(a.dataCentre === self.dataCentre) || b.heardMs - a.heardMs,
    );
  const isKept = await keepers.reduce(
    async (done, { address }) =>
      (await done) ||
      peers.askAddress(address, "keep-runs", { runs }).then(
        () => true,
        () => false,
      ),
    Promise.resolve(false),
  );
  if (!isKept) {
    throw new Error(`none of ${keepers.length} peers with a disk took them`);
  }
}
