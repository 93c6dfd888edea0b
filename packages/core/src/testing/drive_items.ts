/** A played load of batch items beside online bursts, for tests of orders. */
import { measureSlots } from "../batches/measure_slots.ts";
import type { ItemClock, OrderedItem } from "../batches/types.ts";

/** Decides which items get slots first. */
export type OrderOfItems = <Item extends OrderedItem>(
  items: readonly Item[],
  clock: ItemClock,
) => readonly Item[];

type PlayedItem = OrderedItem & { readonly needMs: number };

const TICK_MS = 50;
const ARRIVALS_MS = 60_000;
const JOB_ITEMS = 10;
const DUE_MS = 18_000;
const RUN_MS = 5_500;
/** Runs last from 0.6 to 1.4 of the mean. */
const RUN_SPREAD = 0.4;
const MEAN_WEIGHT = 0.1;
/** Slots for items between online bursts, and within them. */
const QUIET = { slots: 40, ms: 2_400 } as const;
const BURST = { slots: 3, ms: 3_400 } as const;

/** Plays a load until all items are done; the number of those in time. */
export function driveItems(
  orderItems: OrderOfItems,
  {
    seed,
    itemsPerSecond,
  }: { readonly seed: number; readonly itemsPerSecond: number },
): number {
  const draw = createDraw(seed);
  let items: readonly PlayedItem[] = [];
  let running: ReadonlySet<number> = new Set();
  let slots: number | undefined;
  let meanRunMs = RUN_MS;
  let made = 0;
  let nextJobMs = 0;
  let inTime = 0;
  for (let nowMs = 0; nowMs < ARRIVALS_MS || items.length > 0; ) {
    while (nowMs < ARRIVALS_MS && nowMs >= nextJobMs) {
      const first = made;
      const dueAtMs = nowMs + DUE_MS;
      const added = Array.from({ length: JOB_ITEMS }, (_, at) => ({
        index: first + at,
        dueAtMs,
        ranMs: 0,
        needMs: RUN_MS * (1 + RUN_SPREAD * (2 * draw() - 1)),
      }));
      items = [...items, ...added];
      made += JOB_ITEMS;
      nextJobMs += (JOB_ITEMS * 1_000) / itemsPerSecond;
    }
    const inCycleMs = nowMs % (QUIET.ms + BURST.ms);
    const room = inCycleMs < QUIET.ms ? QUIET.slots : BURST.slots;
    const ordered = orderItems(items, { nowMs, meanRunMs, slots });
    const kept = ordered.filter(({ index }) => running.has(index));
    const fresh = ordered.filter(({ index }) => !running.has(index));
    const at = [...kept, ...fresh].slice(0, room).map(({ index }) => index);
    running = new Set(at);
    const waiting = items.length - running.size;
    slots = measureSlots(slots, { running: running.size, waiting });
    nowMs += TICK_MS;
    const ran = items.map((item) =>
      running.has(item.index) ? { ...item, ranMs: item.ranMs + TICK_MS } : item,
    );
    const done = ran.filter(({ ranMs, needMs }) => ranMs >= needMs);
    done.forEach(({ ranMs, dueAtMs }) => {
      meanRunMs += (ranMs - meanRunMs) * MEAN_WEIGHT;
      inTime += nowMs <= dueAtMs ? 1 : 0;
    });
    items = ran.filter(({ ranMs, needMs }) => ranMs < needMs);
  }
  return inTime;
}

/** Numbers from 0 to 1, the same for the same seed. */
function createDraw(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}
