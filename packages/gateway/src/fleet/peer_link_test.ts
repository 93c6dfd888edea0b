import { createSocket } from "node:dgram";
import { once } from "node:events";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { FleetView } from "./fleet_view.ts";
import { PeerLink } from "./peer_link.ts";

const HOST = "127.0.0.1";

/** Starts a peer. */
async function startPeer() {
  const socket = createSocket("udp4");
  socket.bind(0, HOST);
  await once(socket, "listening");
  return { socket, port: socket.address().port };
}

// Guards against a start that is never over, in which no signal ends the process.
test("a start without the peers' port fails", async () => {
  const { socket, port } = await startPeer();
  const { settings } = createView();
  const view = new FleetView({ ...settings, peerPort: port }, "1", () => 0);
  const started = new PeerLink(view, SILENT_LOG).start();
  await expect(started).rejects.toThrow("EADDRINUSE");
  socket.close();
});
