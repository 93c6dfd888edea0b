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

const started: Fleet[] = [];

const createFolder = () => mkdtemp(join(tmpdir(), "tls-"));

const startSecure = async (id: string, authority: Authority) => {
  const folder = await createFolder();
  const tls = await writeCertificate(authority, folder);
  const settings = { peerListener: { tls } };
  return { folder, place: { instanceId: id, dataCentre: "a", settings } };
};

const hears = (fleet: Fleet, id: string, other: string) =>
  (fleet.daemons.get(id)?.readState().membership.members[other]?.heardMs ?? 0) >
  0;

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
  await Promise.all(started.splice(0).map((fleet) => fleet.stop()));
});

test("instances of one authority hear each other, others don't", async () => {
  const authority = await createAuthority();
  const one = await startSecure("one", authority);
  const two = await startSecure("two", authority);
  const stranger = await startSecure("stranger", await createAuthority());
  const plain = { instanceId: "plain", dataCentre: "a" };
  const fleet = await startFleet({
    places: [one.place, two.place, stranger.place, plain],
  });
  started.push(fleet);
  await waitUntil(() => hears(fleet, "one", "two"));
  await waitUntil(() => hears(fleet, "two", "one"));
  const sentBefore = fleet.daemons.get("one")?.peerCounts.received ?? 0;
  await waitUntil(
    () => (fleet.daemons.get("one")?.peerCounts.received ?? 0) > sentBefore + 8,
  );
  const strays = ["one", "two"].flatMap((id) =>
    ["stranger", "plain"].filter((other) => hears(fleet, id, other)),
  );
  expect(strays).toEqual([]);
  const back = ["stranger", "plain"].flatMap((id) =>
    ["one", "two"].filter((other) => hears(fleet, id, other)),
  );
  expect(back).toEqual([]);
});

test("a peer's certificate is taken up when its files change", async () => {
  const authority = await createAuthority();
  const one = await startSecure("one", authority);
  const two = await startSecure("two", await createAuthority());
  const fleet = await startFleet({ places: [one.place, two.place] });
  started.push(fleet);
  const countTries = () => {
    const counts = fleet.daemons.get("one")?.peerCounts;
    return (counts?.sent ?? 0) + (counts?.droppedUnsent ?? 0);
  };
  await waitUntil(() => countTries() > 8);
  expect(hears(fleet, "one", "two")).toBe(false);
  await writeCertificate(authority, two.folder);
  await waitUntil(() => hears(fleet, "one", "two"));
  await waitUntil(() => hears(fleet, "two", "one"));
});

test("callers and operators are served over TLS", async () => {
  const authority = await createAuthority();
  const folder = await createFolder();
  const { certFile, keyFile } = await writeCertificate(authority, folder);
  const tls = { certFile, keyFile };
  const settings = { callerListener: { tls }, adminListener: { tls } };
  const place = { instanceId: "one", dataCentre: "a", settings };
  const fleet = await startFleet({ places: [place] });
  started.push(fleet);
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
