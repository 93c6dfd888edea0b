/** A played load of batch items beside online bursts, for tests of orders. */
import { measureSlots, type OrderedItem } from "@gooseberryline/core";
import { LOAD } from "./constants.ts";
import type { OrderOfItems } from "./types.ts";

type PlayedItem = OrderedItem & { readonly needMs: number };

/** The pool at one moment of the played time. */
type PlayedPool = {
  readonly items: readonly PlayedItem[];
  readonly running: ReadonlySet<number>;
  readonly slots: number | undefined;
  readonly meanRunMs: number;
  readonly inTime: number;
};

/** Plays a load until all items are done; the number of those in time. */
export function simulateItems(
  orderItems: OrderOfItems,
  {
    seed,
    itemsPerSecond,
  }: { readonly seed: number; readonly itemsPerSecond: number },
): number {
  const arrivals = drawArrivals(seed, itemsPerSecond);
  let pool: PlayedPool = {
    items: [],
    running: new Set(),
    slots: undefined,
    meanRunMs: LOAD.RUN_MS,
    inTime: 0,
  };
  for (let nowMs = 0; ; nowMs += LOAD.TICK_MS) {
    const arrived = arrivals.filter(
      ({ dueAtMs }) =>
        dueAtMs - LOAD.DUE_MS <= nowMs &&
        dueAtMs - LOAD.DUE_MS > nowMs - LOAD.TICK_MS,
    );
    pool = { ...pool, items: [...pool.items, ...arrived] };
    if (pool.items.length === 0 && nowMs >= LOAD.ARRIVALS_MS) {
      return pool.inTime;
    }
    pool = runItems(startItems(pool, orderItems, nowMs), nowMs + LOAD.TICK_MS);
  }
}

/** All items of a load, in jobs at equal distances. */
function drawArrivals(
  seed: number,
  itemsPerSecond: number,
): readonly PlayedItem[] {
  const draw = createDraw(seed);
  const gapMs = (LOAD.JOB_ITEMS * LOAD.MS_PER_SECOND) / itemsPerSecond;
  const jobs = Math.ceil(LOAD.ARRIVALS_MS / gapMs);
  return Array.from({ length: jobs * LOAD.JOB_ITEMS }, (_, index) => ({
    index,
    dueAtMs: Math.floor(index / LOAD.JOB_ITEMS) * gapMs + LOAD.DUE_MS,
    ranMs: 0,
    needMs: LOAD.RUN_MS * (1 + LOAD.RUN_SPREAD * (2 * draw() - 1)),
  }));
}

/** Fills the slots there are: the first in order, those that run before others. */
function startItems(
  pool: PlayedPool,
  orderItems: OrderOfItems,
  nowMs: number,
): PlayedPool {
  const isQuiet = nowMs % (LOAD.QUIET.ms + LOAD.BURST.ms) < LOAD.QUIET.ms;
  const room = isQuiet ? LOAD.QUIET.slots : LOAD.BURST.slots;
  const { items, meanRunMs, slots } = pool;
  const ordered = orderItems(items, { nowMs, meanRunMs, slots });
  const kept = ordered.filter(({ index }) => pool.running.has(index));
  const fresh = ordered.filter(({ index }) => !pool.running.has(index));
  const chosen = [...kept, ...fresh].slice(0, room);
  const running = new Set(chosen.map(({ index }) => index));
  const counts = {
    running: running.size,
    waiting: items.length - running.size,
  };
  return { ...pool, running, slots: measureSlots(slots, counts) };
}

/** Lets the items that have slots run for a tick. */
function runItems(pool: PlayedPool, nowMs: number): PlayedPool {
  const ran = pool.items.map((item) =>
    pool.running.has(item.index)
      ? { ...item, ranMs: item.ranMs + LOAD.TICK_MS }
      : item,
  );
  const isDone = ({ ranMs, needMs }: PlayedItem) => ranMs >= needMs;
  const done = ran.filter(isDone);
  return {
    ...pool,
    items: ran.filter((item) => !isDone(item)),
    meanRunMs: done.reduce(
      (mean, { ranMs }) => mean + (ranMs - mean) * LOAD.MEAN_WEIGHT,
      pool.meanRunMs,
    ),
    inTime: pool.inTime + done.filter((item) => nowMs <= item.dueAtMs).length,
  };
}

/** Numbers from 0 to 1, the same for the same seed. */
function createDraw(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}
