import { createSocket } from "node:dgram";
import { once } from "node:events";
import type { FleetMember } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { FleetView } from "./fleet_view.ts";
import { loadCodec } from "./load_codec.ts";
import { PeerLink } from "./peer_link.ts";

const HOST = "127.0.0.1";

/** Starts a peer that counts the messages that it gets. */
async function startPeer() {
  const socket = createSocket("udp4");
  const counts = { messages: 0, urgent: 0 };
  socket.on("message", (bytes) => {
    counts.messages += 1;
    counts.urgent += loadCodec.isUrgent(bytes) ? 1 : 0;
  });
  socket.bind(0, HOST);
  await once(socket, "listening");
  return { socket, counts, port: socket.address().port };
}

function buildMember(id: string, port: number): FleetMember {
  const fields = { dataCentre: "a", duty: "serve", relayPort: 1 } as const;
  return { id, incarnation: "1", address: HOST, port, ...fields };
}

// Guards against a peer that nothing can be sent to, after which none hears anything.
test("a peer that can't be sent to holds up no messages to others", async () => {
  const { socket, counts, port } = await startPeer();
  const view = createView();
  view.members.set(buildMember("odd", 0));
  view.members.set(buildMember("sound", port));
  const link = new PeerLink(view, SILENT_LOG);
  await link.start();
  await expect
    .poll(() => counts.messages, { timeout: 5_000 })
    .toBeGreaterThan(2);
  link.stop();
  socket.close();
});

// Guards against a start that is never over, in which no signal ends the process.
test("a start without the peers' port fails", async () => {
  const { socket, port } = await startPeer();
  const { settings } = createView();
  const view = new FleetView({ ...settings, peerPort: port }, "1", () => 0);
  const started = new PeerLink(view, SILENT_LOG).start();
  await expect(started).rejects.toThrow("EADDRINUSE");
  socket.close();
});

// Guards against urgent news that a large fleet holds back with the rest.
test("news that can't wait is marked as urgent, other news is not", async () => {
  const { socket, counts, port } = await startPeer();
  const view = createView();
  view.members.set(buildMember("sound", port));
  const link = new PeerLink(view, SILENT_LOG);
  await link.start();
  await expect.poll(() => counts.messages).toBeGreaterThan(1);
  // Many instances find the same upstream failing, and can be heard together.
  view.load.recordFailure("u1", view.readNowMs());
  const heard = counts.messages;
  await expect.poll(() => counts.messages).toBeGreaterThan(heard + 1);
  expect(counts.urgent).toBe(0);
  view.load.recordFailure("u2", view.readNowMs());
  view.onUpstreamOverloaded();
  await expect.poll(() => counts.urgent).toBe(1);
  link.stop();
  socket.close();
});
