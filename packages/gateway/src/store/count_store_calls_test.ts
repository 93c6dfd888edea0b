import { batchKeys } from "@gooseberryline/core";
import { createMetadata } from "@gooseberryline/fakes";
import { expect, test } from "vitest";
import { countStoreCalls } from "./count_store_calls.ts";

test("each call is told by its kind and records, without ids", async () => {
  const seen: string[] = [];
  const { store } = createMetadata();
  const counted = countStoreCalls(store, ({ call, records }) => {
    seen.push(`${call} ${records}`);
  });
  const key = batchKeys.job("j1");
  await counted.readKey(key);
  await counted.readKey("instances/i1", { mayBeStale: true });
  await counted.listPage(batchKeys.results("j1"));
  await counted.listPage("a/", undefined, { mayBeStale: true });
  await counted.watchPrefix("a/", 0, 0);
  await counted.commit({ expect: [], set: [], remove: [key] });
  const value = Buffer.from("x");
  await counted.commit({
    expect: [],
    set: [{ key: "instances/i1", value }],
    remove: [key],
  });
  const lease = await counted.grantLease(1_000);
  const leaseId = lease.kind === "lease" ? lease.leaseId : "";
  await counted.renewLease(leaseId);
  await counted.releaseLease(leaseId);
  expect(seen).toEqual([
    "read jobs/job",
    "stale-read instances",
    "list jobs/results",
    "stale-list a",
    "watch a",
    "commit jobs/job",
    "commit instances",
    "grant-lease ",
    "renew-lease ",
    "release-lease ",
  ]);
});
