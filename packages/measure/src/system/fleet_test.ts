import { createHash } from "node:crypto";
import { mkdtemp, readdir } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { INVARIANTS } from "@gooseberryline/core";
import { got } from "got";
import { afterEach, beforeAll, expect, test } from "vitest";
import { type Fleet, startFleet } from "../support/start_fleet.ts";
import { waitUntil } from "../support/wait_until.ts";

const buildSpec = (instanceId: string, settings = {}) => ({
  instanceId,
  dataCentre: "a",
  settings,
});

const TOKEN = "operator-token";
const operators = [
  {
    name: "o",
    role: "viewer",
    tokenHash: createHash("sha256").update(TOKEN).digest("hex"),
  },
];

const readStatus = (fleet: Fleet, id: string) =>
  got(`http://${fleet.daemons.get(id)?.admin}/admin/v1/status`, {
    headers: { authorization: `Bearer ${TOKEN}` },
  }).json<{
    readonly instances: readonly { readonly instanceId: string }[];
    readonly missing: readonly string[];
  }>();

const startedFleets: Fleet[] = [];

const startInstances = async (ids: readonly string[]) => {
  const fleet = await startFleet({
    daemonSpecs: ids.map((id) => buildSpec(id)),
  });
  startedFleets.push(fleet);
  return fleet;
};

const listRecentPeers = (fleet: Fleet, id: string) =>
  Object.values(fleet.daemons.get(id)?.readState().membership.members ?? {})
    .filter(({ lastSeenMs }) => Date.now() - lastSeenMs < 2_000)
    .map(({ instanceId }): string => instanceId)
    .toSorted();

const waitForMembers = (fleet: Fleet, id: string, ids: readonly string[]) =>
  waitUntil(() => listRecentPeers(fleet, id).join() === ids.join());

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

afterEach(async () => {
  await Promise.all(startedFleets.splice(0).map((fleet) => fleet.stop()));
});

test("three daemons discover each other", async () => {
  const fleet = await startInstances(["one", "two", "three"]);
  await waitForMembers(fleet, "one", ["three", "two"]);
  await waitForMembers(fleet, "two", ["one", "three"]);
  await waitForMembers(fleet, "three", ["one", "two"]);
  const sent = fleet.daemons.get("one")?.peerCounts.sent;
  expect(sent).toBeGreaterThan(0);
});

test("a new daemon replaces a lost one with the same id", async () => {
  const fleet = await startInstances(["one", "two"]);
  await waitForMembers(fleet, "one", ["two"]);
  await fleet.end("two", true);
  await waitForMembers(fleet, "one", []);
  await fleet.start(buildSpec("two"));
  await waitForMembers(fleet, "one", ["two"]);
  await waitForMembers(fleet, "two", ["one"]);
});

test("seed addresses replace the platform's instance list", async () => {
  const fleet = await startInstances(["one", "two"]);
  await waitForMembers(fleet, "one", ["two"]);
  fleet.store.setFaults({ isDown: true });
  const peers = [fleet.daemons.get("one")?.peer];
  await fleet.start({ ...buildSpec("three", { peers }), isListed: false });
  await waitForMembers(fleet, "three", ["one", "two"]);
  await waitForMembers(fleet, "two", ["one", "three"]);
});

test("each daemon answers callers", async () => {
  const fleet = await startInstances(["one", "two"]);
  const json = { model: "demo-model", messages: [] };
  await Promise.all(
    ["one", "two"].map(async (id) => {
      await waitUntil(
        () => fleet.daemons.get(id)?.readState().config !== undefined,
      );
      const answer = fleet.getApi(id).post("v1/chat/completions", { json });
      expect((await answer.json()) as object).toHaveProperty("choices");
    }),
  );
});

test("a report covers all instances and lists those not reached", async () => {
  const fleet = await startFleet({
    daemonSpecs: [buildSpec("one", { operators }), buildSpec("two")],
  });
  startedFleets.push(fleet);
  await waitForMembers(fleet, "one", ["two"]);
  const complete = await readStatus(fleet, "one");
  expect(complete.instances.map(({ instanceId }) => instanceId)).toEqual([
    "one",
    "two",
  ]);
  expect(complete.missing).toEqual([]);
  await fleet.end("two", true);
  const partial = await readStatus(fleet, "one");
  expect(partial.missing).toEqual(["two"]);
});

const holdsShare = (fleet: Fleet, id: string) =>
  Object.values(fleet.daemons.get(id)?.readState().limits ?? {}).some(
    ({ share }) => share.burst > 0,
  );

const readRevision = (fleet: Fleet, id: string) =>
  fleet.daemons.get(id)?.readState().config?.revision;

test("with the store down, a new instance uses its peers' configuration", async () => {
  const fleet = await startInstances(["one", "two"]);
  await waitUntil(() =>
    ["one", "two"].every((id) => readRevision(fleet, id) === 1),
  );
  const document = fleet.daemons.get("one")?.readState().config?.document;
  const revision = document && (await fleet.storeConfig(document));
  expect(revision).toBeGreaterThan(1);
  await waitUntil(() => readRevision(fleet, "one") === revision);
  await waitUntil(() => ["one", "two"].some((id) => holdsShare(fleet, id)));
  fleet.store.setFaults({ isDown: true });
  const peers = [fleet.daemons.get("one")?.peer];
  await fleet.start({ ...buildSpec("three", { peers }), isListed: false });
  await waitUntil(() => readRevision(fleet, "three") === revision);
  const json = { model: "demo-model", messages: [] };
  const answer = fleet.getApi("three").post("v1/chat/completions", { json });
  expect((await answer.json()) as object).toHaveProperty("choices");
});

test("run records of a lost instance without a disk are available at a peer", async () => {
  const dataFolder = await mkdtemp(join(tmpdir(), "fleet-"));
  const fleet = await startFleet({
    daemonSpecs: [
      buildSpec("one"),
      buildSpec("two", { dataFolder, operators }),
    ],
  });
  startedFleets.push(fleet);
  await waitForMembers(fleet, "one", ["two"]);
  await waitUntil(() => readRevision(fleet, "one") === 1);
  const json = { model: "demo-model", messages: [] };
  await fleet.getApi("one").post("v1/chat/completions", { json });
  const readRuns = () =>
    got(`http://${fleet.daemons.get("two")?.admin}/admin/v1/runs`, {
      headers: { authorization: `Bearer ${TOKEN}` },
    }).json<{ readonly runs: readonly { readonly outcome: string }[] }>();
  await waitUntil(async () => (await readdir(dataFolder)).includes("runs"));
  await fleet.end("one", true);
  await waitUntil(async () => (await readRuns()).runs.length > 0);
  expect((await readRuns()).runs).toMatchObject([{ outcome: "completed" }]);
});

test("the configuration is restored from disk after a restart with the store down", async () => {
  const dataFolder = await mkdtemp(join(tmpdir(), "fleet-"));
  const fleet = await startFleet({
    daemonSpecs: [buildSpec("one", { dataFolder })],
  });
  startedFleets.push(fleet);
  await waitUntil(() => readRevision(fleet, "one") === 1);
  await fleet.end("one");
  fleet.store.setFaults({ isDown: true });
  await fleet.start(buildSpec("one", { dataFolder }));
  await waitUntil(() => readRevision(fleet, "one") === 1);
});
