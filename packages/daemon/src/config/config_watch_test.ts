import type { Config } from "@gooseberryline/core";
import {
  type Platform,
  PlatformError,
  type WatchAnswer,
} from "@gooseberryline/protocol";
import { expect, test } from "vitest";
import { createLog } from "../logs/create_log.ts";
import { ConfigWatch } from "./config_watch.ts";

const document = {
  dataCentres: {},
  services: {},
  upstreams: {},
  profiles: {},
  customers: {},
};
const answer: WatchAnswer = {
  revision: 5,
  records: [
    {
      key: "config/current",
      value: JSON.stringify({ revision: 2, document }),
      version: 5,
    },
  ],
};
const down = new PlatformError(
  { kind: "unavailable", detail: "down" },
  "watch",
  "platform",
);
const never = new Promise<undefined>(() => undefined);

/**
 * Runs a watch until it offers a configuration; resolves with prior reports.
 */
const follow = (platform: Pick<Platform, "watch" | "get">) =>
  new Promise<{ offered: Config; reports: readonly boolean[] }>((resolve) => {
    const reports: boolean[] = [];
    const watch = new ConfigWatch({
      platform: platform as Platform,
      log: createLog({}, () => undefined),
      offer: (offered) => {
        watch.stop();
        resolve({ offered, reports });
      },
      report: (isReached) => reports.push(isReached),
    });
    watch.setWatching(true);
  });

test("a probe distinguishes an idle watch from a dead connection", async () => {
  const rounds = [undefined, undefined, answer];
  const { offered, reports } = await follow({
    watch: async () => (rounds.length > 0 ? rounds.shift() : never),
    get: async () => undefined,
  });
  expect(offered.revision).toBe(2);
  expect(reports).toEqual([true, true]);
});

test("a failed watch is reported and retried", async () => {
  const rounds = [Promise.reject(down), Promise.resolve(answer)];
  const { reports } = await follow({
    watch: () => rounds.shift() ?? never,
    get: () => Promise.reject(down),
  });
  expect(reports).toEqual([false]);
});

test("the watch timeout is longer after a failed round", async () => {
  const { offered } = await follow({
    watch: async (_prefix, _revision, waitMs) =>
      waitMs > 4_000 ? answer : undefined,
    get: () => Promise.reject(down),
  });
  expect(offered.revision).toBe(2);
});

test("an invalid document is skipped", async () => {
  const [record] = answer.records;
  const value = JSON.stringify({ revision: 9, document: { colour: 1 } });
  const invalid = {
    revision: 6,
    records: record ? [{ ...record, value }] : [],
  };
  const rounds = [invalid, answer];
  const { offered } = await follow({
    watch: async () => (rounds.length > 0 ? rounds.shift() : never),
    get: async () => undefined,
  });
  expect(offered.revision).toBe(2);
});
