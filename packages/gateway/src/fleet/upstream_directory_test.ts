import { expect, test } from "vitest";
import { createEntry } from "../testing/create_entry.ts";
import { FLEET } from "./constants.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";

const entry = createEntry();

function createDirectory(): UpstreamDirectory {
  const directory = new UpstreamDirectory();
  directory.set(entry);
  return directory;
}

/**
 * Reports failing store calls from 1,000 ms to 3,900 ms, so that the store
 * counts as down.
 */
function failStore(directory: UpstreamDirectory): void {
  directory.recordStoreContact(false, 1_000);
  directory.recordStoreContact(false, 3_900);
}

test("a removed upstream gets no new work", () => {
  const directory = createDirectory();
  directory.remove("u1", 1_000);
  expect(directory.list("s", 1_001)).toHaveLength(0);
});

test("an upstream removed during a store outage stays for the grace period", () => {
  const directory = createDirectory();
  failStore(directory);
  directory.remove("u1", 3_950);
  expect(directory.list("s", 3_960)).toHaveLength(1);
  directory.recordStoreContact(true, 4_000);
  expect(directory.list("s", 4_000 + FLEET.LAPSE_GRACE_MS - 1)).toHaveLength(1);
  expect(directory.list("s", 4_000 + FLEET.LAPSE_GRACE_MS)).toHaveLength(0);
});

test("an upstream that registers again within the grace period stays", () => {
  const directory = createDirectory();
  failStore(directory);
  directory.recordStoreContact(true, 4_000);
  directory.remove("u1", 4_010);
  directory.set(entry);
  expect(directory.list("s", 60_000)).toHaveLength(1);
});

test("a single failed store call does not count as an outage", () => {
  const directory = createDirectory();
  directory.recordStoreContact(false, 1_000);
  directory.recordStoreContact(true, 1_100);
  directory.remove("u1", 1_200);
  expect(directory.list("s", 1_201)).toHaveLength(0);
});

test("an evacuated data centre gets no new work until it is admitted again", () => {
  const directory = createDirectory();
  directory.evacuateDataCentre("a");
  expect(directory.list("s", 1)).toHaveLength(0);
  directory.admitDataCentre("a");
  expect(directory.list("s", 1)).toHaveLength(1);
});

test("a draining upstream gets no new work", () => {
  const directory = createDirectory();
  directory.set({ ...entry, isDraining: true });
  expect(directory.list("s", 1)).toHaveLength(0);
});

test("an upstream that says it is leaving gets no new work, its successor does", () => {
  const directory = createDirectory();
  const told: string[] = [];
  directory.onLeaving = (id) => told.push(id);
  directory.markLeaving([{ id: "u1" }]);
  directory.markLeaving([{ id: "u1" }]);
  expect(told).toEqual(["u1"]);
  expect(directory.list("s", 0)).toEqual([]);
  expect(directory.listLeaving()).toEqual([{ id: "u1", bornMs: undefined }]);
  directory.set(entry);
  expect(directory.list("s", 0)).toEqual([]);
  directory.set({ ...entry, bornMs: 7 });
  expect(directory.list("s", 0)).toHaveLength(1);
});

test("a late word that an earlier process is leaving does not concern the next one", () => {
  const directory = new UpstreamDirectory();
  directory.set({ ...entry, bornMs: 7 });
  directory.markLeaving([{ id: "u1", bornMs: 6 }]);
  expect(directory.list("s", 0)).toHaveLength(1);
});

test("an upstream that is leaving stays so while the store is away", () => {
  const directory = createDirectory();
  failStore(directory);
  directory.markLeaving([{ id: "u1" }]);
  directory.remove("u1", 4_000);
  directory.recordStoreContact(true, 5_000);
  expect(directory.list("s", 5_000)).toEqual([]);
});
