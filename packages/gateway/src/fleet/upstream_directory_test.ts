import { expect, test } from "vitest";
import { FLEET } from "./constants.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";

const entry = {
  id: "u1",
  service: "s",
  address: "127.0.0.1:1",
  dataCentre: "a",
  slots: 8,
  isDraining: false,
  coldUntilMs: 0,
};

function createDirectory(): UpstreamDirectory {
  const directory = new UpstreamDirectory();
  directory.put(entry);
  return directory;
}

/** The store is away from 1,000 to 4,000 ms. */
function failStore(directory: UpstreamDirectory): void {
  directory.recordStoreContact(false, 1_000);
  directory.recordStoreContact(false, 3_900);
}

test("an entry that goes gets no new work", () => {
  const directory = createDirectory();
  directory.remove("u1", 1_000);
  expect(directory.list("s", 1_001)).toHaveLength(0);
});

test("one that went with the store away stays for a while after", () => {
  const directory = createDirectory();
  failStore(directory);
  directory.remove("u1", 3_950);
  expect(directory.list("s", 3_960)).toHaveLength(1);
  directory.recordStoreContact(true, 4_000);
  expect(directory.list("s", 4_000 + FLEET.LAPSE_GRACE_MS - 1)).toHaveLength(1);
  expect(directory.list("s", 4_000 + FLEET.LAPSE_GRACE_MS)).toHaveLength(0);
});

test("one that registers again in that time stays", () => {
  const directory = createDirectory();
  failStore(directory);
  directory.recordStoreContact(true, 4_000);
  directory.remove("u1", 4_010);
  directory.put(entry);
  expect(directory.list("s", 60_000)).toHaveLength(1);
});

test("a single failed call is no outage", () => {
  const directory = createDirectory();
  directory.recordStoreContact(false, 1_000);
  directory.recordStoreContact(true, 1_100);
  directory.remove("u1", 1_200);
  expect(directory.list("s", 1_201)).toHaveLength(0);
});

test("a data centre taken out gets nothing until it is back", () => {
  const directory = createDirectory();
  directory.evacuateDataCentre("a");
  expect(directory.list("s", 1)).toHaveLength(0);
  directory.admitDataCentre("a");
  expect(directory.list("s", 1)).toHaveLength(1);
});

test("a draining one gets nothing", () => {
  const directory = createDirectory();
  directory.put({ ...entry, isDraining: true });
  expect(directory.list("s", 1)).toHaveLength(0);
});
