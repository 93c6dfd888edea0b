import { expect, test } from "vitest";
import { crashFixture } from "./crash_fixture.ts";
import { findChain } from "./find_chain.ts";
import { mergeCrash } from "./merge_crash.ts";
import type { Crash } from "./types.ts";

const { createCrash, createRequest } = crashFixture;
const DELAY_MS = 40;

test("an earlier report by another instance does not move when a suspect was sent", () => {
  const first = createCrash(1_000, createRequest("r"));
  const suspect = { ...createRequest("r"), ranMs: 10 + DELAY_MS };
  const seen = createCrash(1_020);
  const late: Crash = {
    ...seen,
    atMs: seen.atMs + DELAY_MS,
    suspects: [suspect],
  };
  const crashes = [seen, late].reduce<readonly Crash[]>(mergeCrash, [first]);
  expect(findChain(crashes, ({ suspects }) => suspects)).toHaveLength(2);
});

// Guards against evidence that fills up with one suspect, told again and again.
test("a suspect that is reported again at another time is one suspect", () => {
  const crash = createCrash(1_000, { ...createRequest("r"), ranMs: 10 });
  const again = [1, 2, 3].map((lateMs) => ({
    ...crash,
    atMs: crash.atMs + lateMs,
  }));
  const [merged] = again.reduce<readonly Crash[]>(mergeCrash, [crash]);
  expect(merged?.suspects).toHaveLength(1);
});
