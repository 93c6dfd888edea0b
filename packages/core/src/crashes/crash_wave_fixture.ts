import { drawRandom } from "../shared/draw_random.ts";
import { CRASHES } from "./constants.ts";
import { decideCrashBlocks } from "./decide_crash_blocks.ts";
import { holdsBlock } from "./holds_block.ts";
import { mergeCrashBlock } from "./merge_crash_block.ts";
import type { Crash, CrashBlock, CrashSuspect } from "./types.ts";

/** When an upstream ends for a cause of its own; it starts again later. */
type PlannedEnd = { readonly index: number; readonly atMs: number };

/** A load of sound requests beside upstreams that end again and again. Times in ms. */
type WaveLoad = {
  readonly seed: number;
  readonly upstreams: number;
  readonly ends: readonly PlannedEnd[];
  /** Time until an upstream that ended takes requests again. */
  readonly downMs: number;
  /** Part of all requests that have the part `hot`. */
  readonly hotShare: number;
  /** Part of all requests that are repeats of one. */
  readonly repeatShare: number;
  /** Number of sessions; each request has the part of one. */
  readonly sessions: number;
  /** Part of the free slots that are taken in a step. */
  readonly arrivalShare: number;
  /** Time until an answer begins, at least and at most. */
  readonly firstMs: readonly [number, number];
  /** Time of a whole answer, in times until it begins. */
  readonly wholeAnswers: number;
  /** Time in which other instances hear of a crash or an answer. */
  readonly newsMs: number;
  /** Time after which a request that broke once is sent again. */
  readonly againMs: number;
  /** Time after which its caller repeats one that broke more often. */
  readonly repeatMs: number;
  readonly endMs: number;
};

type Work = {
  readonly request: string;
  readonly parts: readonly string[];
  /** How often its upstream ended. */
  readonly breaks: number;
};
type Attempt = Work & { readonly sentMs: number; readonly firstMs: number };
type Sound = { readonly key: string; readonly atMs: number };

const STEP_MS = 5;
const SLOTS = 4;
/** Time after the last crash in which the evidence is reviewed. */
const REVIEWED_MS = 400;
const CUSTOMER = "c1";

/** Plays a load of sound requests; returns what was blocked. */
function runWaves(load: WaveLoad) {
  let random = load.seed;
  const draw = (): number => {
    const drawn = drawRandom(random);
    random = drawn.seed;
    return drawn.value;
  };
  const running = Array.from({ length: load.upstreams }, (): Attempt[] => []);
  const starts = running.map(() => 0);
  const again: { readonly work: Work; readonly fromMs: number }[] = [];
  const lastMs = new Map<string, number>();
  let untold: readonly Sound[] = [];
  let crashes: readonly Crash[] = [];
  let blocks: readonly CrashBlock[] = [];
  let refused = 0;
  let count = 0;
  const createWork = (): Work => {
    count += 1;
    const session = `session${Math.floor(draw() * load.sessions)}`;
    const parts = draw() < load.hotShare ? ["hot", session] : [session];
    const isRepeat = draw() < load.repeatShare;
    return isRepeat
      ? { request: "repeat", parts: ["hot"], breaks: 0 }
      : { request: `own${count}`, parts, breaks: 0 };
  };
  const endUpstream = (index: number, nowMs: number): void => {
    const suspects = (running[index] ?? []).map((attempt): CrashSuspect => {
      const ranMs = nowMs - attempt.sentMs;
      const hasBegun = ranMs >= attempt.firstMs;
      const parts = hasBegun ? [] : attempt.parts;
      const { request } = attempt;
      return {
        request,
        parts,
        customer: CUSTOMER,
        hasHead: false,
        hasBegun,
        ranMs,
      };
    });
    const seen = { downAt: ["i1", "i2"], reachedAt: [], isReplaced: false };
    const upstreamId = `u${index}-${starts[index]}`;
    crashes = [
      ...crashes,
      { upstreamId, atMs: nowMs, suspects, ...seen },
    ].slice(-CRASHES.MAX_EVIDENCE);
    again.push(
      ...(running[index] ?? []).map((work) => ({
        work: { ...work, breaks: work.breaks + 1 },
        fromMs: nowMs + (work.breaks === 0 ? load.againMs : load.repeatMs),
      })),
    );
    again.sort((a, b) => a.fromMs - b.fromMs);
    running[index] = [];
    starts[index] = nowMs + load.downMs;
  };
  const isRefused = ({ request, parts }: Work): boolean =>
    blocks.some((block) =>
      holdsBlock(block, {
        parts,
        customer: CUSTOMER,
        hasKey: (key) => key === request,
      }),
    );
  const send = (index: number, work: Work, nowMs: number): void => {
    if (isRefused(work)) {
      refused += 1;
      return;
    }
    const [min, max] = load.firstMs;
    const firstMs = min + draw() * (max - min);
    running[index]?.push({ ...work, sentMs: nowMs, firstMs });
  };
  const takeWork = (nowMs: number): Work =>
    (again[0]?.fromMs ?? load.endMs) <= nowMs
      ? (again.shift()?.work ?? createWork())
      : createWork();
  const advance = (index: number, nowMs: number): void => {
    const attempts = running[index] ?? [];
    const begun = attempts.filter(
      ({ sentMs, firstMs }) =>
        nowMs - sentMs >= firstMs && nowMs - sentMs < firstMs + STEP_MS,
    );
    const ended = attempts.filter(
      ({ sentMs, firstMs }) => nowMs - sentMs >= firstMs * load.wholeAnswers,
    );
    const keys = begun
      .flatMap(({ parts }) => parts)
      .concat(ended.map(({ request }) => request));
    untold = [...untold, ...keys.map((key) => ({ key, atMs: nowMs }))];
    running[index] = attempts.filter((attempt) => !ended.includes(attempt));
    const free = SLOTS - (running[index]?.length ?? 0);
    Array.from({ length: free }, () => draw())
      .filter((value) => value < load.arrivalShare)
      .forEach(() => {
        send(index, takeWork(nowMs), nowMs);
      });
  };
  const decide = (nowMs: number): void => {
    const isTold = ({ atMs }: { readonly atMs: number }) =>
      nowMs - atMs >= load.newsMs;
    untold.filter(isTold).forEach(({ key, atMs }) => {
      lastMs.set(key, atMs);
    });
    untold = untold.filter((sound) => !isTold(sound));
    blocks = decideCrashBlocks(
      crashes.filter(isTold),
      (key) => lastMs.get(key) ?? Number.NEGATIVE_INFINITY,
      { nowMs },
    ).reduce(mergeCrashBlock, blocks);
  };
  Array.from(
    { length: load.endMs / STEP_MS },
    (_, step) => step * STEP_MS,
  ).forEach((nowMs) => {
    load.ends
      .filter(({ atMs }) => atMs <= nowMs && atMs > nowMs - STEP_MS)
      .filter(({ index }) => (starts[index] ?? 0) <= nowMs)
      .forEach(({ index }) => {
        endUpstream(index, nowMs);
      });
    running.forEach((_, index) => {
      if ((starts[index] ?? 0) <= nowMs) {
        advance(index, nowMs);
      }
    });
    const latestMs = crashes.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
    if (nowMs - latestMs <= REVIEWED_MS) {
      decide(nowMs);
    }
  });
  return { blocks, refused, crashes };
}

/** Loads of tests during which upstreams end and start again. */
export const crashWaveFixture = { runWaves } as const;
