import { decideCrashBlocks } from "./decide_crash_blocks.ts";
import type { BlockSubject, Crash, CrashSuspect } from "./types.ts";

const NEVER = (): number => Number.NEGATIVE_INFINITY;

function createSuspect(
  parts: string,
  customer = "c1",
  hasHead = true,
): CrashSuspect {
  const progress = { hasHead, hasBegun: false, ranMs: 0 };
  return { request: "", parts: parts.split(" "), customer, ...progress };
}

/** Creates a crash; suspects without a key are of requests of their own. */
function createCrash(
  atMs: number,
  ...suspects: readonly CrashSuspect[]
): Crash {
  const seen = { downAt: ["i1", "i2"], reachedAt: [], isReplaced: false };
  const named = suspects.map((suspect, index) => ({
    ...suspect,
    request: suspect.request || `r${atMs}-${index}`,
  }));
  return { upstreamId: `u${atMs}`, atMs, suspects: named, ...seen };
}

function createRequest(request: string, parts = "a s"): CrashSuspect {
  return { ...createSuspect(parts), request };
}

function listRequests(
  crashes: readonly Crash[],
  getLastSoundMs: (key: string) => number = NEVER,
): readonly string[] {
  return decideCrashBlocks(crashes, getLastSoundMs).flatMap((block) =>
    block.kind === "request" ? [block.request] : [],
  );
}

function listBlocks(crashes: readonly Crash[]): readonly string[] {
  return [...listRequests(crashes), ...listParts(crashes)];
}

function createSubject(
  parts: readonly string[],
  customer: string,
  key = "",
): BlockSubject {
  return { parts, customer, hasKey: (request: string) => request === key };
}

function listParts(
  crashes: readonly Crash[],
  getLastSoundMs: (part: string) => number = NEVER,
): readonly string[] {
  return decideCrashBlocks(crashes, getLastSoundMs).flatMap((block) =>
    block.kind === "prompt" ? [block.parts.join(" ")] : [],
  );
}

/** Crashes, suspects and decisions of tests. */
export const crashFixture = {
  NEVER,
  createSuspect,
  createCrash,
  createRequest,
  createSubject,
  listRequests,
  listParts,
  listBlocks,
} as const;
