import { expect, test } from "vitest";
import { drawRandom } from "../shared/draw_random.ts";
import { createQuota } from "./create_quota.ts";
import { recordDemand } from "./record_demand.ts";
import { recordPeerUsage } from "./record_peer_usage.ts";
import { shouldTellEarly } from "./should_tell_early.ts";
import { takeQuota } from "./take_quota.ts";
import type { Demand, PeerUsage, Quota } from "./types.ts";

const LIMIT = { ratePerSecond: 32, burst: 32 };
const WINDOW_MS = 5_000;
const SLACK = 20;
const OVERAGE = 1.1;
const BOUND =
  ((LIMIT.ratePerSecond * WINDOW_MS) / 1_000 + LIMIT.burst) * OVERAGE + SLACK;
const END_MS = 20_000;
/** Time between load messages for each member, in ms. */
const INTERVAL_PER_MEMBER_MS = 8;
/** Delay of a message that is sent before its time, in ms. */
const EARLY_MS = 5;
const WORKERS = 12;

type Seen = { readonly usage: PeerUsage; readonly perSecond: number };
type Instance = {
  quota: Quota;
  demand: Demand;
  told: number;
  toldEarlyMs: number;
  readonly peers: Map<number, Seen>;
};

type Load = {
  readonly seed: number;
  readonly instances: number;
  /** Requests a second at a time. */
  readonly getRate: (nowMs: number) => number;
  /** Power of the draw of an instance; 1 spreads requests evenly. */
  readonly skew?: number;
};

/** Plays a customer's requests; returns when they came and were admitted, in ms. */
function runLoad({ seed, instances, getRate, skew = 1 }: Load) {
  let random = seed;
  const draw = (): number => {
    const drawn = drawRandom(random);
    random = drawn.seed;
    return drawn.value;
  };
  const lagMs = (instances + WORKERS) * INTERVAL_PER_MEMBER_MS;
  const fleet = Array.from(
    { length: instances },
    (): Instance => ({
      quota: createQuota(0, SLACK / 2),
      demand: { perSecond: 0, atMs: 0 },
      told: 0,
      toldEarlyMs: Number.NEGATIVE_INFINITY,
      peers: new Map(),
    }),
  );
  const phases = fleet.map(() => Math.floor(draw() * lagMs));
  const early = new Map<number, number>();
  const askedMs: number[] = [];
  const admittedMs: number[] = [];
  const ask = (instance: Instance, nowMs: number): void => {
    instance.demand = recordDemand(instance.demand, nowMs);
    const othersPerSecond = [...instance.peers.values()].reduce(
      (sum, { perSecond }) => sum + perSecond,
      0,
    );
    const others = { perSecond: othersPerSecond, lagMs, drawn: draw() };
    const taken = takeQuota(instance.quota, LIMIT, 1, nowMs, others);
    instance.quota = taken.quota;
    askedMs.push(nowMs);
    if (taken.kind === "taken") {
      admittedMs.push(nowMs);
    }
  };
  const report = (from: number, nowMs: number): void => {
    const sender = fleet[from];
    if (sender === undefined) {
      return;
    }
    const { admitted, tokens } = sender.quota;
    const usage = { incarnation: "1", admitted };
    sender.told = admitted;
    const { perSecond } = recordDemand(sender.demand, nowMs, 0);
    fleet.forEach((instance, to) => {
      if (to !== from) {
        const previous = instance.peers.get(from)?.usage;
        instance.quota = recordPeerUsage(instance.quota, {
          usage,
          previous,
          tokens,
          ageMs: nowMs,
          wasSilent: false,
          receivedMs: nowMs,
        });
        instance.peers.set(from, { usage, perSecond });
        const untold = instance.quota.admitted - instance.told;
        const isDue = nowMs - instance.toldEarlyMs >= lagMs;
        if (isDue && shouldTellEarly(instance.quota, LIMIT, untold)) {
          instance.toldEarlyMs = nowMs;
          early.set(to, nowMs + EARLY_MS);
        }
      }
    });
  };
  Array.from({ length: END_MS }, (_, nowMs) => nowMs).forEach((nowMs) => {
    phases.forEach((phase, from) => {
      if (nowMs % lagMs === phase || early.get(from) === nowMs) {
        report(from, nowMs);
      }
    });
    if (draw() < getRate(nowMs) / 1_000) {
      const instance = fleet[Math.floor(draw() ** skew * instances)];
      if (instance !== undefined) {
        ask(instance, nowMs);
      }
    }
  });
  return { askedMs, admittedMs };
}

function countWorstWindow(times: readonly number[]): number {
  return times.reduce((worst, startMs) => {
    const count = times.filter(
      (atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS,
    ).length;
    return Math.max(worst, count);
  }, 0);
}

const cases = [64, 165].flatMap((instances) =>
  [1, 2, 3].map((seed) => ({ instances, seed })),
);

test.each(cases)(
  "a customer with nine times its usual load stays in its limit at $instances instances, seed $seed",
  (size) => {
    const getRate = (nowMs: number) => (nowMs > 2_000 ? 290 : 8);
    const { admittedMs } = runLoad({ ...size, getRate });
    expect(countWorstWindow(admittedMs)).toBeLessThanOrEqual(BOUND);
  },
);

test.each(cases)(
  "a customer beyond its limit gets nine tenths of its rate at $instances instances, seed $seed",
  (size) => {
    const fromMs = 10_000;
    [1, 2].forEach((skew) => {
      const { admittedMs } = runLoad({ ...size, skew, getRate: () => 290 });
      const perSecond =
        admittedMs.filter((atMs) => atMs >= fromMs).length /
        ((END_MS - fromMs) / 1_000);
      expect(perSecond).toBeGreaterThanOrEqual(0.9 * LIMIT.ratePerSecond);
    });
  },
);

test.each(cases)(
  "below the rate at most one in 100 is refused at $instances instances, seed $seed",
  (size) => {
    [1, 4].forEach((skew) => {
      const { askedMs, admittedMs } = runLoad({
        ...size,
        skew,
        getRate: () => 20,
      });
      expect(askedMs.length - admittedMs.length).toBeLessThanOrEqual(
        askedMs.length / 100,
      );
    });
  },
);
