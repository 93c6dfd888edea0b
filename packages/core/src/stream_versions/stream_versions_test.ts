import { expect, test } from "vitest";
import { STREAM_VERSIONS } from "./constants.ts";
import { findSoleVersion } from "./find_sole_version.ts";
import type { VersionHistory } from "./types.ts";
import { updateHistory } from "./update_history.ts";

const LIFE_MS = STREAM_VERSIONS.STREAM_LIFE_MS;
const START_MS = 1_000_000;

type Step = { readonly atMs: number; readonly listed: readonly string[] };

/** Simulates what is listed at each step, from a history that begins at 0. */
function simulate(
  steps: readonly Step[],
  sinceMs = 0,
): VersionHistory | undefined {
  return steps.reduce<VersionHistory | undefined>(
    (history, { atMs, listed }) =>
      updateHistory(
        "s",
        { history, listed: new Set(listed), unixMs: START_MS + atMs },
        sinceMs,
      ),
    undefined,
  );
}

function findSole(
  history: VersionHistory | undefined,
  listed: readonly string[],
  atMs: number,
) {
  const unixMs = START_MS + atMs;
  return findSoleVersion({ history, listed: new Set(listed), unixMs });
}

const RELEASE = [
  { atMs: 0, listed: ["v1"] },
  { atMs: 5_000, listed: ["v1", "v2"] },
  { atMs: 9_000, listed: ["v2"] },
];

test("a service that had one version only tells each stream's", () => {
  const history = simulate([{ atMs: 0, listed: ["v1"] }]);
  expect(findSole(history, ["v1"], 100)).toBe("v1");
});

test("no version is told while several are listed", () => {
  expect(findSole(simulate(RELEASE.slice(0, 2)), ["v1", "v2"], 5_000)).toBe(
    undefined,
  );
});

test("no version is told while streams of one that has left may live", () => {
  expect(findSole(simulate(RELEASE), ["v2"], 9_000 + LIFE_MS - 1)).toBe(
    undefined,
  );
  expect(findSole(simulate(RELEASE), ["v2"], 9_000 + LIFE_MS)).toBe("v2");
});

test("what is listed counts before it is in the history", () => {
  expect(findSole(simulate(RELEASE.slice(0, 1)), ["v2"], 100)).toBe(undefined);
});

test("a history that begins later than streams may have tells nothing", () => {
  const history = simulate([{ atMs: 0, listed: ["v1"] }], START_MS);
  expect(findSole(history, ["v1"], LIFE_MS - 1)).toBe(undefined);
  expect(findSole(history, ["v1"], LIFE_MS)).toBe("v1");
  expect(findSole(undefined, ["v1"], 1e9)).toBe(undefined);
});

test("a version that comes back counts as listed", () => {
  const history = simulate([
    ...RELEASE,
    { atMs: 20_000, listed: ["v1", "v2"] },
  ]);
  expect(history?.versions).toEqual({ v1: null, v2: null });
});

test("a version is forgotten long after it has left", () => {
  const atMs = 9_000 + STREAM_VERSIONS.FORGET_MS;
  const history = simulate([...RELEASE, { atMs, listed: ["v2"] }]);
  expect(history?.versions).toEqual({ v2: null });
});

test("a history to which nothing is new stays the same value", () => {
  const history = simulate(RELEASE);
  const facts = { history, listed: new Set(["v2"]), unixMs: START_MS + 9_500 };
  expect(updateHistory("s", facts, 0)).toBe(history);
});

test("upstreams that name no version count as one version", () => {
  expect(findSole(simulate([{ atMs: 0, listed: [""] }]), [""], 100)).toBe("");
});
