/**
 * Simulates batch items that share slots with online bursts, to compare item
 * orders.
 */
import { type OrderedItem, updateMeanSlots } from "@gooseberryline/core";
import { LOAD } from "./constants.ts";
import type { ItemOrder } from "./types.ts";

type SimulatedItem = OrderedItem & { readonly requiredMs: number };

/** State of the pool at one moment of simulated time. */
type SimulatedPool = {
  readonly items: readonly SimulatedItem[];
  readonly running: ReadonlySet<number>;
  readonly slots: number | undefined;
  readonly meanRunMs: number;
  readonly completedInTime: number;
};

/**
 * Simulates a load until all items are complete; returns the number completed
 * in time.
 */
export function simulateItems(
  orderItems: ItemOrder,
  {
    seed,
    itemsPerSecond,
  }: { readonly seed: number; readonly itemsPerSecond: number },
): number {
  const arrivals = drawArrivals(seed, itemsPerSecond);
  let pool: SimulatedPool = {
    items: [],
    running: new Set(),
    slots: undefined,
    meanRunMs: LOAD.MEAN_RUN_MS,
    completedInTime: 0,
  };
  for (let nowMs = 0; ; nowMs += LOAD.TICK_MS) {
    const arrived = arrivals.filter(
      ({ dueAtMs }) =>
        dueAtMs - LOAD.DUE_MS <= nowMs &&
        dueAtMs - LOAD.DUE_MS > nowMs - LOAD.TICK_MS,
    );
    pool = { ...pool, items: [...pool.items, ...arrived] };
    if (pool.items.length === 0 && nowMs >= LOAD.ARRIVALS_MS) {
      return pool.completedInTime;
    }
    pool = runItems(startItems(pool, orderItems, nowMs), nowMs + LOAD.TICK_MS);
  }
}

/** Draws all items of a load, in jobs that arrive at equal intervals. */
function drawArrivals(
  seed: number,
  itemsPerSecond: number,
): readonly SimulatedItem[] {
  const random = createRandom(seed);
  const gapMs = (LOAD.ITEMS_PER_JOB * LOAD.MS_PER_SECOND) / itemsPerSecond;
  const jobs = Math.ceil(LOAD.ARRIVALS_MS / gapMs);
  return Array.from({ length: jobs * LOAD.ITEMS_PER_JOB }, (_, index) => ({
    index,
    dueAtMs: Math.floor(index / LOAD.ITEMS_PER_JOB) * gapMs + LOAD.DUE_MS,
    ranMs: 0,
    requiredMs: LOAD.MEAN_RUN_MS * (1 + LOAD.RUN_SPREAD * (2 * random() - 1)),
  }));
}

/** Assigns the available slots in order; running items come first. */
function startItems(
  pool: SimulatedPool,
  orderItems: ItemOrder,
  nowMs: number,
): SimulatedPool {
  const isQuiet = nowMs % (LOAD.QUIET.ms + LOAD.BURST.ms) < LOAD.QUIET.ms;
  const availableSlots = isQuiet ? LOAD.QUIET.slots : LOAD.BURST.slots;
  const { items, meanRunMs, slots } = pool;
  const ordered = orderItems(items, { nowMs, meanRunMs, slots });
  const alreadyRunning = ordered.filter(({ index }) => pool.running.has(index));
  const notRunning = ordered.filter(({ index }) => !pool.running.has(index));
  const chosen = [...alreadyRunning, ...notRunning].slice(0, availableSlots);
  const running = new Set(chosen.map(({ index }) => index));
  const counts = {
    running: running.size,
    waiting: items.length - running.size,
  };
  return { ...pool, running, slots: updateMeanSlots(slots, counts) };
}

/** Runs the items that have slots for one tick. */
function runItems(pool: SimulatedPool, nowMs: number): SimulatedPool {
  const advanced = pool.items.map((item) =>
    pool.running.has(item.index)
      ? { ...item, ranMs: item.ranMs + LOAD.TICK_MS }
      : item,
  );
  const isComplete = ({ ranMs, requiredMs }: SimulatedItem) =>
    ranMs >= requiredMs;
  const completed = advanced.filter(isComplete);
  return {
    ...pool,
    items: advanced.filter((item) => !isComplete(item)),
    meanRunMs: completed.reduce(
      (mean, { ranMs }) => mean + (ranMs - mean) * LOAD.MEAN_WEIGHT,
      pool.meanRunMs,
    ),
    completedInTime:
      pool.completedInTime +
      completed.filter((item) => nowMs <= item.dueAtMs).length,
  };
}

/** Creates a seeded generator of numbers in [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}
