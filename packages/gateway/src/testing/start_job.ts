/** Creates a job in a fake metadata store, for tests of its owner. */
import { batchKeys } from "@gooseberryline/core";
import { createMetadata } from "@gooseberryline/fakes";
import { batchRecords } from "../jobs/batch_records.ts";
import { buildJob } from "../jobs/build_job.ts";
import { loadJob } from "../jobs/load_job.ts";
import { OwnedJob } from "../jobs/owned_job.ts";
import { ResultCountFeed } from "../jobs/result_count_feed.ts";
import { ResultsReader } from "../jobs/results_reader.ts";
import { JOB_ROUTE } from "./job_route.ts";
import { SILENT_LOG } from "./silent_log.ts";

/** Accepts a job `j1` of items with these ids; `own` loads it as its owner. */
export async function startJob(
  ids: readonly string[] = ["a", "b", "c"],
  submittedAtMs = 0,
) {
  const metadata = createMetadata();
  const { store } = metadata;
  const items = ids.map((id) => ({
    id,
    path: "/b/x",
    headers: {},
    body: "",
    tokens: 1,
  }));
  const { job, commit } = buildJob({
    id: "j1",
    customer: "t1",
    route: JOB_ROUTE,
    configRevision: 1,
    items,
    submittedAtMs,
    workers: [],
    writer: "w",
  });
  await store.commit(commit);
  const loadOwned = async (writerName: string) => {
    const read = await store.readKey(batchKeys.claim("j1"));
    const item = read.kind === "read" ? read.item : undefined;
    const claimRecord = item && batchRecords.decodeClaim(item.value);
    const loaded =
      claimRecord &&
      (await loadJob(store, "j1", claimRecord, item?.revision ?? 0));
    if (loaded === undefined) {
      throw new Error("job j1 could not be loaded from the fake store");
    }
    const state = { isLost: false };
    const onLost = (): void => {
      state.isLost = true;
    };
    const log = SILENT_LOG;
    const readNowMs = (): number => performance.now();
    const parts = { store, log, readNowMs, writerName, onLost };
    const owned = new OwnedJob(loaded, parts);
    return { owned, state };
  };
  const resultCounts = new ResultCountFeed(() => performance.now());
  const createReader = () =>
    new ResultsReader({ store, resultCounts, log: SILENT_LOG });
  const reader = createReader();
  const readIds = async (
    from = 0,
    maxWaitMs = 0,
  ): Promise<readonly string[]> => {
    const read = await reader.read(job, from, maxWaitMs);
    return read.kind === "read" ? read.results.map(({ id }) => id) : [];
  };
  return { metadata, job, own: loadOwned, createReader, readIds, resultCounts };
}
