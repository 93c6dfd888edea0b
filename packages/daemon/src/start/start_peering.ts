import { join } from "node:path";
import type { InstanceSelf, InstanceState } from "@gooseberryline/core";
import { createPeerCounts } from "../peers/create_peer_counts.ts";
import { FolderBlobs } from "../peers/folder_blobs.ts";
import { PeerTask } from "../peers/peer_task.ts";
import {
  type PeerServer,
  type PeerServerParts,
  startPeerServer,
} from "../peers/start_peer_server.ts";
import type { PeerCredentials } from "../peers/types.ts";
import type { Settings } from "../settings/types.ts";

/** The server and the client side of the connections between instances. */
export type Peering = {
  readonly server: PeerServer;
  readonly peers: PeerTask;
  /** Address at which peers reach this instance, as `IP:port`. */
  readonly address: string;
};

/** Binds the peer listener and creates the task that sends to peers. */
export async function startPeering(
  settings: Settings,
  self: InstanceSelf,
  parts: Pick<PeerServerParts, "log" | "post" | "answer"> & {
    readonly credentials: PeerCredentials;
    readonly readState: () => InstanceState;
    /** Folder for files stored on behalf of peers; undefined without a disk. */
    readonly folder: string | undefined;
  },
): Promise<Peering> {
  const { credentials, folder, readState } = parts;
  const counts = createPeerCounts();
  const { peerListener } = settings;
  const blobs =
    folder === undefined ? undefined : new FolderBlobs(join(folder, "blobs"));
  const server = await startPeerServer(peerListener, {
    ...parts,
    counts,
    blobs,
  });
  const peers = new PeerTask({
    sender: { from: self.instanceId, incarnation: self.incarnation },
    credentials,
    counts,
    findAddress: (id) => readState().membership.members[id]?.address,
  });
  const address = peerListener.advertise ?? server.address;
  return { server, peers, address };
}
