import { appendFile, mkdtemp, readdir } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { RunRecord } from "@gooseberryline/core";
import { expect, test } from "vitest";
import type { RunQuery } from "../admin/types.ts";
import { createLog } from "../logs/create_log.ts";
import { RunFiles } from "./run_files.ts";
import { RunTask } from "./run_task.ts";

const all: RunQuery = { customer: undefined, workId: undefined, limit: 100 };
const log = createLog({}, () => undefined);

const createRun = (at: number, customer = "c1") =>
  ({
    workId: `w${at}`,
    attemptId: `a${at}`,
    customer,
    endedMs: at,
  }) as RunRecord;

const createFolder = () => mkdtemp(join(tmpdir(), "runs-"));

const listEndTimes = async (listed: Promise<readonly RunRecord[]>) =>
  (await listed).map(({ endedMs }) => endedMs);

test("records survive a restart and can be queried", async () => {
  const folder = await createFolder();
  const files = new RunFiles(folder);
  await files.append([createRun(1), createRun(2, "c2"), createRun(3)]);
  const again = new RunFiles(folder);
  await again.append([createRun(4)]);
  expect(await listEndTimes(again.list(all))).toEqual([4, 3, 2, 1]);
  expect(await listEndTimes(again.list({ ...all, limit: 2 }))).toEqual([4, 3]);
  expect(await listEndTimes(again.list({ ...all, customer: "c2" }))).toEqual([
    2,
  ]);
  expect(await listEndTimes(again.list({ ...all, workId: "w3" }))).toEqual([3]);
  const times = { ...all, fromMs: 2, untilMs: 3 };
  expect(await listEndTimes(again.list(times))).toEqual([3, 2]);
});

test("the oldest files are removed first", async () => {
  const folder = await createFolder();
  const files = new RunFiles(folder, { fileBytes: 1, files: 3 });
  await files.append([createRun(1)]);
  await files.append([createRun(2)]);
  await files.append([createRun(3)]);
  await files.append([createRun(4)]);
  expect((await readdir(folder)).length).toBe(3);
  expect(await listEndTimes(files.list(all))).toEqual([4, 3, 2]);
});

test("a truncated last line is skipped", async () => {
  const folder = await createFolder();
  await new RunFiles(folder).append([createRun(1)]);
  const [name = ""] = await readdir(folder);
  await appendFile(join(folder, name), '{"workId":"w2","endedMs":2');
  const again = new RunFiles(folder);
  await again.append([createRun(3)]);
  expect(await listEndTimes(again.list(all))).toEqual([3, 1]);
});

test("without a disk each record is sent once a peer is reachable", async () => {
  const taken: RunRecord[] = [];
  const peer = { isReached: false };
  const task = new RunTask({
    files: undefined,
    sendToPeer: async (runs) => {
      if (!peer.isReached) {
        throw new Error("unreachable");
      }
      taken.push(...runs);
    },
    log,
  });
  task.record(createRun(1));
  await task.flush();
  task.record(createRun(2));
  peer.isReached = true;
  await task.stop();
  expect(taken.map(({ endedMs }) => endedMs)).toEqual([1, 2]);
  expect(await listEndTimes(task.list(all))).toEqual([2, 1]);
});

test("records that no peer accepts are dropped and counted", async () => {
  const sendToPeer = () => Promise.reject(new Error("unreachable"));
  const task = new RunTask({ files: undefined, sendToPeer, log });
  Array.from({ length: 10_005 }, (_, at) => task.record(createRun(at)));
  await task.stop();
  expect(task.dropped).toBe(5);
});
