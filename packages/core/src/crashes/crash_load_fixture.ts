import { drawRandom } from "../shared/draw_random.ts";
import { CRASHES } from "./constants.ts";
import { decideCrashBlocks } from "./decide_crash_blocks.ts";
import { holdsBlock } from "./holds_block.ts";
import { mergeCrashBlock } from "./merge_crash_block.ts";
import type { Crash, CrashBlock, CrashSuspect } from "./types.ts";

/** A load, and what ends its upstreams. Times in ms. */
type CrashLoad = {
  readonly seed: number;
  readonly upstreams: number;
  /** Part of all requests that have the part `hot`. */
  readonly hotShare: number;
  /** Part of all requests that are repeats of one. */
  readonly repeatShare: number;
  /** Requests a second that crash their upstream as they begin, 0 for none. */
  readonly deadlyPerSecond: number;
  /** What the deadly requests have in common. */
  readonly deadly: "request" | "part";
  /** Part of the upstreams that crash for a cause of their own. */
  readonly crashedShare: number;
  readonly spreadMs: number;
  /** Time until an answer begins. */
  readonly firstMs: number;
  /** Time in which other instances hear of an answer or a crash. */
  readonly newsMs: number;
  readonly endMs: number;
};

type Work = {
  readonly request: string;
  readonly parts: readonly string[];
  readonly isDeadly: boolean;
};
type Attempt = Work & { readonly sentMs: number };
type Sound = { readonly key: string; readonly atMs: number };

const STEP_MS = 5;
const EVENT_MS = 1_000;
const SLOTS = 4;
/** Part of the free slots that are taken in a step. */
const ARRIVAL_SHARE = 0.1;
/** Time of a whole answer, in times until it begins. */
const WHOLE_ANSWERS = 3;
/** Time after the last crash in which the evidence is reviewed. */
const REVIEWED_MS = 200;
const CUSTOMER = "c1";

/** Plays a load; returns what was blocked, and when deadly requests crashed. */
function runLoad(load: CrashLoad) {
  let random = load.seed;
  const draw = (): number => {
    const drawn = drawRandom(random);
    random = drawn.seed;
    return drawn.value;
  };
  const ends = new Map(
    Array.from({ length: load.upstreams }, (_, index) => index)
      .filter(() => draw() < load.crashedShare)
      .map((index) => [index, EVENT_MS + draw() * load.spreadMs] as const),
  );
  const running = Array.from({ length: load.upstreams }, (): Attempt[] => []);
  const downs = new Set<number>();
  const again: Work[] = [];
  const deadlyCrashesMs: number[] = [];
  let sounds: readonly Sound[] = [];
  let crashes: readonly Crash[] = [];
  let blocks: readonly CrashBlock[] = [];
  let count = 0;
  const perSecond = (load.upstreams * SLOTS * ARRIVAL_SHARE * 1_000) / STEP_MS;
  const deadlyShare = load.deadlyPerSecond / perSecond;
  const createWork = (): Work => {
    count += 1;
    const own = `own${count}`;
    if (draw() < deadlyShare) {
      const isRequest = load.deadly === "request";
      const request = isRequest ? "deadly" : own;
      return {
        request,
        parts: isRequest ? [own] : ["bad", own],
        isDeadly: true,
      };
    }
    const isRepeat = draw() < load.repeatShare;
    const parts = draw() < load.hotShare ? ["hot", own] : [own];
    const request = isRepeat ? "repeat" : own;
    return { request, parts, isDeadly: false };
  };
  const endUpstream = (index: number, nowMs: number): void => {
    const suspects = (running[index] ?? []).map((attempt): CrashSuspect => {
      const ranMs = nowMs - attempt.sentMs;
      const isOver = ranMs >= load.firstMs;
      const hasBegun = isOver && !attempt.isDeadly;
      return {
        request: attempt.request,
        parts: hasBegun ? [] : attempt.parts,
        customer: CUSTOMER,
        hasHead: isOver && attempt.isDeadly,
        hasBegun,
        ranMs,
      };
    });
    const seen = { downAt: ["i1", "i2"], reachedAt: [], isReplaced: false };
    const upstreamId = `u${index}`;
    crashes = [...crashes, { upstreamId, atMs: nowMs, suspects, ...seen }];
    again.push(...(running[index] ?? []));
    running[index] = [];
    downs.add(index);
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
    if (!isRefused(work)) {
      running[index]?.push({ ...work, sentMs: nowMs });
    }
  };
  const advance = (index: number, nowMs: number): void => {
    const attempts = running[index] ?? [];
    if (nowMs >= (ends.get(index) ?? load.endMs)) {
      endUpstream(index, nowMs);
      return;
    }
    const isBegun = ({ sentMs }: Attempt) => nowMs - sentMs >= load.firstMs;
    if (attempts.some((attempt) => attempt.isDeadly && isBegun(attempt))) {
      deadlyCrashesMs.push(nowMs);
      endUpstream(index, nowMs);
      return;
    }
    const begun = attempts.filter(
      ({ sentMs }) =>
        nowMs - sentMs >= load.firstMs &&
        nowMs - sentMs < load.firstMs + STEP_MS,
    );
    const ended = attempts.filter(
      ({ sentMs }) => nowMs - sentMs >= load.firstMs * WHOLE_ANSWERS,
    );
    sounds = [
      ...sounds,
      ...begun
        .flatMap(({ parts }) => parts)
        .concat(ended.map(({ request }) => request))
        .map((key) => ({ key, atMs: nowMs })),
    ].slice(-CRASHES.MAX_SOUND_KEYS);
    running[index] = attempts.filter((attempt) => !ended.includes(attempt));
    const free = SLOTS - (running[index]?.length ?? 0);
    Array.from({ length: free }, () => draw())
      .filter((value) => value < ARRIVAL_SHARE)
      .forEach(() => {
        send(index, again.shift() ?? createWork(), nowMs);
      });
  };
  const decide = (nowMs: number): void => {
    const isTold = ({ atMs }: { readonly atMs: number }) =>
      nowMs - atMs >= load.newsMs;
    const lastMs = new Map(
      sounds.filter(isTold).map(({ key, atMs }) => [key, atMs]),
    );
    const told = crashes.filter(isTold);
    blocks = decideCrashBlocks(
      told,
      (key) => lastMs.get(key) ?? Number.NEGATIVE_INFINITY,
      { nowMs },
    ).reduce(mergeCrashBlock, blocks);
    running.forEach((attempts, index) => {
      running[index] = attempts.filter((attempt) => !isRefused(attempt));
    });
  };
  Array.from(
    { length: load.endMs / STEP_MS },
    (_, step) => step * STEP_MS,
  ).forEach((nowMs) => {
    running.forEach((_, index) => {
      if (!downs.has(index)) {
        advance(index, nowMs);
      }
    });
    const lastCrashMs = crashes.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastCrashMs <= REVIEWED_MS) {
      decide(nowMs);
    }
  });
  return { blocks, deadlyCrashesMs, crashes };
}

/** Loads of tests during which upstreams crash. */
export const crashLoadFixture = { runLoad } as const;
