import { drawRandom, type InstanceId } from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";
import { buildOrder } from "./build_order.ts";

const MS_PER_SECOND = 1000;

/** A Poisson stream of online requests from one customer. */
export type Arrivals = {
  readonly seed: number;
  readonly customer: string;
  readonly profile?: string;
  /** Mean number of requests per second. */
  readonly rate: number;
  readonly untilMs: number;
  readonly deadlineMs?: number;
  /**
   * Picks the instance for a random value in [0, 1); by default, all instances
   * are equally probable.
   */
  readonly pickInstance?: (value: number) => InstanceId | undefined;
};

/** Schedules request arrivals in the world until `untilMs` of virtual time. */
export function generateArrivals(world: World, arrivals: Arrivals): void {
  const state = { seed: arrivals.seed, count: 0 };
  const drawRandomValue = (): number => {
    const { value, seed } = drawRandom(state.seed);
    state.seed = seed;
    return value;
  };
  const pickAnyInstance = (value: number): InstanceId | undefined => {
    const ids = world.instanceIds;
    return ids[Math.floor(value * ids.length)];
  };
  const pickInstance = arrivals.pickInstance ?? pickAnyInstance;
  const scheduleNext = (): void => {
    const gapMs =
      (-Math.log(1 - drawRandomValue()) / arrivals.rate) * MS_PER_SECOND;
    if (world.nowMs + gapMs > arrivals.untilMs) {
      return;
    }
    world.queue.schedule(gapMs, () => {
      const instanceId = pickInstance(drawRandomValue());
      state.count += 1;
      if (instanceId !== undefined) {
        const { seed, customer } = arrivals;
        const workId = `${customer}-${seed}-${state.count}`;
        world.submitRequest(
          instanceId,
          buildOrder(arrivals, { workId, world }),
        );
      }
      scheduleNext();
    });
  };
  scheduleNext();
}
