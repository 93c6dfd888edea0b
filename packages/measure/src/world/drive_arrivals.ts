import {
  type CustomerId,
  drawRandom,
  type InstanceId,
  type KeyId,
  LANES,
  type ProfileName,
  type ServiceName,
  type WorkId,
  type WorkOrder,
} from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";

const MS_PER_SECOND = 1000;
const COST_TOKENS = 50;

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
export function driveArrivals(world: World, arrivals: Arrivals): void {
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
        world.arrive(instanceId, buildOrder(arrivals, control.count, world));
      }
      next();
    });
  };
  next();
}

function buildOrder(
  { seed, customer, profile, deadlineMs }: Arrivals,
  count: number,
  world: World,
): WorkOrder {
  const name = profile ?? "counter";
  const isIdempotent = world.config.document.profiles[name]?.idempotent;
  return {
    workId: `${customer}-${seed}-${count}` as WorkId,
    origin: { kind: "request" },
    lane: LANES.ONLINE,
    customer: customer as CustomerId,
    keyId: `${customer}-key` as KeyId,
    profile: name as ProfileName,
    service: "letterdesk-llm" as ServiceName,
    isIdempotent: isIdempotent ?? true,
    costTokens: COST_TOKENS,
    prefixHash: 0,
    deadlineMs: world.nowMs + (deadlineMs ?? 15_000),
  };
}
