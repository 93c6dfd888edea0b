import { drawRandom, type InstanceId } from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";
import { buildOrder } from "./build_order.ts";

const MS_PER_SECOND = 1000;

/** A stream of online requests of one customer, Poisson by default. */
export type Arrivals = {
  readonly seed: number;
  readonly customer: string;
  readonly profile?: string;
  /** Requests a second. */
  readonly rate: number;
  readonly untilMs: number;
  readonly deadlineMs?: number;
  /** Picks the instance for a draw in [0, 1). */
  readonly pick?: (value: number) => InstanceId | undefined;
};

/** Lets requests arrive at the world until `untilMs` of virtual time. */
export function generateArrivals(world: World, arrivals: Arrivals): void {
  const control = { seed: arrivals.seed, count: 0 };
  const draw = (): number => {
    const { value, seed } = drawRandom(control.seed);
    control.seed = seed;
    return value;
  };
  const pickAny = (value: number): InstanceId | undefined => {
    const ids = world.instanceIds;
    return ids[Math.floor(value * ids.length)];
  };
  const pick = arrivals.pick ?? pickAny;
  const next = (): void => {
    const gapMs = (-Math.log(1 - draw()) / arrivals.rate) * MS_PER_SECOND;
    if (world.nowMs + gapMs > arrivals.untilMs) {
      return;
    }
    world.queue.schedule(gapMs, () => {
      const instanceId = pick(draw());
      control.count += 1;
      if (instanceId !== undefined) {
        const { seed, customer } = arrivals;
        const workId = `${customer}-${seed}-${control.count}`;
        world.arrive(instanceId, buildOrder(arrivals, { workId, world }));
      }
      next();
    });
  };
  next();
}
