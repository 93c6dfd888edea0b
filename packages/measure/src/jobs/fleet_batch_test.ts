import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import { BatchClient } from "../support/batch_client.ts";
import { startFleet } from "../support/start_fleet.ts";
import { waitUntil } from "../support/wait_until.ts";

const BODY = { model: "demo-model", messages: [], max_tokens: 40 };
const ITEMS = 1_000;
const END_MS = 40_000;

const startDiskFleet = async () => {
  const places = await Promise.all(
    ["one", "two", "three"].map(async (instanceId, at) => ({
      instanceId,
      dataCentre: at === 2 ? "b" : "a",
      settings: { dataFolder: await mkdtemp(join(tmpdir(), "jobs-")) },
    })),
  );
  const fleet = await startFleet({ daemonSpecs: places, engines: 2 });
  await waitUntil(() =>
    [...fleet.daemons.values()].every(
      (daemon) =>
        Object.values(daemon.readState().membership.members).filter(
          ({ hasDisk }) => hasDisk,
        ).length === 2,
    ),
  );
  return { fleet, places };
};

const allItemIds = Array.from({ length: ITEMS }, (_, at) => `item-${at}`);

test("a batch outlives its owner and is read anywhere", async () => {
  const { fleet, places } = await startDiskFleet();
  const createClient = (id: string) => new BatchClient(fleet.getApi(id));
  const content = BatchClient.writeInput(ITEMS, BODY);
  const fileId = await createClient("one").upload(content);
  const { body: batch } = await createClient("two").create(fileId);
  const findOwner = () =>
    [...fleet.daemons.entries()].find(
      ([, daemon]) => Object.keys(daemon.readState().jobs.owned).length > 0,
    )?.[0];
  await waitUntil(async () => {
    const { request_counts: counts } = await createClient("one").get(batch.id);
    return findOwner() !== undefined && counts.completed > 0;
  }, END_MS);
  const ownerPlace = places.find(
    ({ instanceId }) => instanceId === findOwner(),
  );
  if (ownerPlace === undefined) {
    throw new Error("nobody owns the job");
  }
  await fleet.end(ownerPlace.instanceId, true);
  await fleet.start(ownerPlace);
  await waitUntil(
    async () =>
      (await createClient("three").get(batch.id)).status === "completed",
    END_MS,
  );
  const ended = await createClient("three").get(batch.id);
  expect(ended.request_counts).toEqual({
    total: ITEMS,
    completed: ITEMS,
    failed: 0,
  });
  const idsByInstance = await Promise.all(
    places.map(({ instanceId }) =>
      createClient(instanceId).readIds(ended.output_file_id),
    ),
  );
  expect(idsByInstance).toEqual(places.map(() => allItemIds.toSorted()));
  await fleet.stop();
});

test("a batch cancelled on another instance stops and keeps its results", async () => {
  const { fleet } = await startDiskFleet();
  const createClient = (id: string) => new BatchClient(fleet.getApi(id));
  const slowBody = { ...BODY, max_tokens: 40 };
  const fileId = await createClient("one").upload(
    BatchClient.writeInput(2_000, slowBody),
  );
  const { body: batch } = await createClient("one").create(fileId);
  await waitUntil(
    async () =>
      (await createClient("one").get(batch.id)).request_counts.completed > 0,
    END_MS,
  );
  const cancelled = await createClient("three").cancel(batch.id);
  expect(cancelled.status).toBe("cancelling");
  await waitUntil(
    async () =>
      (await createClient("two").get(batch.id)).status === "cancelled",
    END_MS,
  );
  const ended = await createClient("two").get(batch.id);
  const ids = await createClient("two").readIds(ended.output_file_id);
  expect(ids.length).toBe(ended.request_counts.completed);
  expect(ids.length).toBeLessThan(2_000);
  await fleet.stop();
});
