import { expect, test } from "vitest";
import { chooseStorePath } from "./choose_store_path.ts";
import { STORE_PATHS } from "./constants.ts";
import { recordDirectCall } from "./record_direct_call.ts";
import { recordProbe } from "./record_probe.ts";
import type { DirectPath } from "./types.ts";

const READ = { isProbeable: true, hasPeer: true };
const WATCH = { isProbeable: false, hasPeer: true };
const { MIN_PROBE_DELAY_MS, MAX_PROBE_DELAY_MS, SOUND } = STORE_PATHS;
const SUSPECT = recordDirectCall(SOUND, false, 0);

test("calls go directly while the store answers", () => {
  const path = recordDirectCall(SOUND, true, 0);
  expect(chooseStorePath(path, READ, 0)).toEqual({ kind: "direct" });
});

test("calls go directly if no peer has a path", () => {
  const facts = { ...READ, hasPeer: false };
  expect(chooseStorePath(SUSPECT, facts, 0)).toEqual({ kind: "direct" });
});

test("a watch never goes by a suspect path, however long ago it failed", () => {
  expect(chooseStorePath(SUSPECT, WATCH, 1e9)).toEqual({
    kind: "peer",
    isProbe: false,
  });
});

test("one call at a time probes a suspect path, ever less often", () => {
  const played = Array.from({ length: 60 }, (_, second) => second * 1_000);
  const result = played.reduce<{ path: DirectPath; probes: number[] }>(
    ({ path, probes }, nowMs) => {
      const choice = chooseStorePath(path, READ, nowMs);
      const isProbe = choice.kind === "peer" && choice.isProbe;
      return isProbe
        ? { path: recordProbe(path, nowMs), probes: [...probes, nowMs] }
        : { path, probes };
    },
    { path: SUSPECT, probes: [] },
  );
  const [first = 0, second = 0] = result.probes;
  expect(first).toBe(MIN_PROBE_DELAY_MS);
  expect(second - first).toBe(2 * MIN_PROBE_DELAY_MS);
  const gaps = result.probes
    .slice(1)
    .map((atMs, index) => atMs - (result.probes[index] ?? 0));
  expect(Math.max(...gaps)).toBe(MAX_PROBE_DELAY_MS);
});

test("an answer to a probe makes the path sound", () => {
  const probed = recordProbe(SUSPECT, MIN_PROBE_DELAY_MS);
  expect(recordDirectCall(probed, true, 1_010)).toEqual(SOUND);
});

test("calls that fail while the path is suspect change nothing", () => {
  expect(recordDirectCall(SUSPECT, false, 500)).toEqual(SUSPECT);
});
