import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { connect } from "node:tls";
import { got } from "got";
import { afterEach, expect, test } from "vitest";
import { createAuthority } from "../support/create_authority.ts";
import { type Fleet, startFleet } from "../support/start_fleet.ts";
import type { Authority } from "../support/types.ts";
import { waitUntil } from "../support/wait_until.ts";
import { writeCertificate } from "../support/write_certificate.ts";

const startedFleets: Fleet[] = [];

const createFolder = () => mkdtemp(join(tmpdir(), "tls-"));

const createSecureSpec = async (id: string, authority: Authority) => {
  const folder = await createFolder();
  const tls = await writeCertificate(authority, folder);
  const settings = { peerListener: { tls } };
  return { folder, spec: { instanceId: id, dataCentre: "a", settings } };
};

const hasHeardFrom = (fleet: Fleet, id: string, other: string) =>
  (fleet.daemons.get(id)?.readState().membership.members[other]?.lastSeenMs ??
    0) > 0;

const readSerial = (address: string, ca: string) =>
  new Promise<string>((resolve, reject) => {
    const [host, port] = address.split(":");
    const socket = connect({ host: host ?? "", port: Number(port), ca }, () => {
      resolve(socket.getPeerCertificate().serialNumber);
      socket.destroy();
    });
    socket.on("error", reject);
  });

afterEach(async () => {
  await Promise.all(startedFleets.splice(0).map((fleet) => fleet.stop()));
});

test("instances connect only to peers with a certificate of the same authority", async () => {
  const authority = await createAuthority();
  const one = await createSecureSpec("one", authority);
  const two = await createSecureSpec("two", authority);
  const stranger = await createSecureSpec("stranger", await createAuthority());
  const plain = { instanceId: "plain", dataCentre: "a" };
  const fleet = await startFleet({
    daemonSpecs: [one.spec, two.spec, stranger.spec, plain],
  });
  startedFleets.push(fleet);
  await waitUntil(() => hasHeardFrom(fleet, "one", "two"));
  await waitUntil(() => hasHeardFrom(fleet, "two", "one"));
  const receivedBefore = fleet.daemons.get("one")?.peerCounts.received ?? 0;
  await waitUntil(
    () =>
      (fleet.daemons.get("one")?.peerCounts.received ?? 0) > receivedBefore + 8,
  );
  const unexpected = ["one", "two"].flatMap((id) =>
    ["stranger", "plain"].filter((other) => hasHeardFrom(fleet, id, other)),
  );
  expect(unexpected).toEqual([]);
  const unexpectedBack = ["stranger", "plain"].flatMap((id) =>
    ["one", "two"].filter((other) => hasHeardFrom(fleet, id, other)),
  );
  expect(unexpectedBack).toEqual([]);
});

test("a peer certificate is reloaded when its files change", async () => {
  const authority = await createAuthority();
  const one = await createSecureSpec("one", authority);
  const two = await createSecureSpec("two", await createAuthority());
  const fleet = await startFleet({ daemonSpecs: [one.spec, two.spec] });
  startedFleets.push(fleet);
  const countAttempts = () => {
    const counts = fleet.daemons.get("one")?.peerCounts;
    return (counts?.sent ?? 0) + (counts?.droppedUnsent ?? 0);
  };
  await waitUntil(() => countAttempts() > 8);
  expect(hasHeardFrom(fleet, "one", "two")).toBe(false);
  await writeCertificate(authority, two.folder);
  await waitUntil(() => hasHeardFrom(fleet, "one", "two"));
  await waitUntil(() => hasHeardFrom(fleet, "two", "one"));
});

test("callers and operators are served over TLS", async () => {
  const authority = await createAuthority();
  const folder = await createFolder();
  const { certFile, keyFile } = await writeCertificate(authority, folder);
  const tls = { certFile, keyFile };
  const settings = { callerListener: { tls }, adminListener: { tls } };
  const spec = { instanceId: "one", dataCentre: "a", settings };
  const fleet = await startFleet({ daemonSpecs: [spec] });
  startedFleets.push(fleet);
  const daemon = fleet.daemons.get("one");
  const https = { certificateAuthority: authority.cert };
  const ready = await got(`https://${daemon?.admin}/healthz`, { https });
  expect(ready.statusCode).toBe(200);
  await waitUntil(() => daemon?.readState().config !== undefined);
  const json = { model: "demo-model", messages: [], stream: true };
  const answer = await got.post(
    `https://${daemon?.caller}/v1/chat/completions`,
    { https, json, headers: { authorization: "Bearer demo-key" } },
  );
  expect(answer.body).toContain("data: [DONE]");
  const before = await readSerial(daemon?.caller ?? "", authority.cert);
  await writeCertificate(authority, folder);
  await waitUntil(
    async () =>
      (await readSerial(daemon?.caller ?? "", authority.cert)) !== before,
  );
});
