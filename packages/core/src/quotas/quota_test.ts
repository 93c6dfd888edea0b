import { expect, test } from "vitest";
import { drawRandom } from "../shared/draw_random.ts";
import { QUOTAS } from "./constants.ts";
import { createQuota } from "./create_quota.ts";
import { recordPeerUsage } from "./record_peer_usage.ts";
import { takeQuota } from "./take_quota.ts";
import type { PeerUsage, Quota } from "./types.ts";

const LIMIT = { ratePerSecond: 33, burst: 33 };
const WINDOW_MS = 5_000;
const SLACK = 20;
const OVERAGE = 1.1;
const GOSSIP_MS = 100;
const BOUND =
  ((LIMIT.ratePerSecond * WINDOW_MS) / 1_000 + LIMIT.burst) * OVERAGE + SLACK;

type Instance = {
  id: string;
  quota: Quota;
  startedMs: number;
  peers: Map<string, { usage: PeerUsage; receivedMs: number }>;
};

type Scenario = {
  readonly seed: number;
  readonly instances: number;
  /** Requests per second over the whole fleet. */
  readonly requestsPerSecond: number;
  /** Whether messages of one instance reach another at a given time. */
  readonly isReachable?: (from: number, to: number, nowMs: number) => boolean;
  /** Time at which all processes restart. */
  readonly restartMs?: number;
};

/** Simulates one customer's traffic; returns the times of admission, in ms. */
function runCustomer(scenario: Scenario): {
  admitted: readonly number[];
  requested: number;
} {
  const { instances, requestsPerSecond, isReachable = () => true } = scenario;
  let random = scenario.seed;
  const draw = (): number => {
    const drawn = drawRandom(random);
    random = drawn.seed;
    return drawn.value;
  };
  const startFleet = (startedMs: number): Instance[] =>
    Array.from({ length: instances }, (_, index) => ({
      id: `i${index}`,
      quota: createQuota(startedMs, SLACK / 2),
      startedMs,
      peers: new Map(),
    }));
  let fleet = startFleet(0);
  const admitted: number[] = [];
  let requested = 0;
  const computeReachableShare = (to: number, nowMs: number): number =>
    fleet.filter((_, from) => from === to || isReachable(from, to, nowMs))
      .length / instances;
  Array.from({ length: 20_000 }, (_, nowMs) => nowMs).forEach((nowMs) => {
    if (nowMs === scenario.restartMs) {
      fleet = startFleet(nowMs);
    }
    if (draw() < requestsPerSecond / 1_000) {
      requested += 1;
      // Skews the traffic so that a few instances get most of it.
      const index = Math.floor(draw() ** 2 * instances);
      const instance = fleet[index];
      if (instance !== undefined) {
        const share = computeReachableShare(index, nowMs);
        const taken = takeQuota(instance.quota, LIMIT, share, nowMs);
        instance.quota = taken.quota;
        if (taken.kind === "taken") {
          admitted.push(nowMs);
        }
      }
    }
    if (nowMs % GOSSIP_MS === 0) {
      const snapshots = fleet.map(({ quota }) => quota);
      fleet.forEach((instance, to) => {
        fleet.forEach((peer, from) => {
          const quota = snapshots[from];
          if (
            from === to ||
            quota === undefined ||
            !isReachable(from, to, nowMs)
          ) {
            return;
          }
          const usage = {
            incarnation: `${peer.startedMs}`,
            admitted: quota.admitted,
          };
          const last = instance.peers.get(peer.id);
          const silentMs = nowMs - (last?.receivedMs ?? nowMs);
          instance.quota = recordPeerUsage(instance.quota, {
            usage,
            previous: last?.usage,
            tokens: quota.tokens,
            ageMs: nowMs - peer.startedMs,
            wasSilent: silentMs > QUOTAS.PEER_TIMEOUT_MS,
            receivedMs: nowMs,
          });
          instance.peers.set(peer.id, { usage, receivedMs: nowMs });
        });
      });
    }
  });
  return { admitted, requested };
}

function findWorstWindow(admitted: readonly number[]): number {
  return admitted.reduce((worst, startMs) => {
    const count = admitted.filter(
      (atMs) => atMs >= startMs && atMs < startMs + WINDOW_MS,
    ).length;
    return Math.max(worst, count);
  }, 0);
}

const seeds = [1, 2, 3];

test.each(seeds)("a window holds no more than the bound, seed %i", (seed) => {
  const { admitted } = runCustomer({
    seed,
    instances: 8,
    requestsPerSecond: 200,
  });
  expect(findWorstWindow(admitted)).toBeLessThanOrEqual(BOUND);
});

test.each(seeds)(
  "the bound holds while the fleet is split in halves, seed %i",
  (seed) => {
    const isReachable = (from: number, to: number, nowMs: number) =>
      nowMs < 6_000 || nowMs > 13_000 || from % 2 === to % 2;
    const { admitted } = runCustomer({
      seed,
      instances: 8,
      requestsPerSecond: 200,
      isReachable,
    });
    expect(findWorstWindow(admitted)).toBeLessThanOrEqual(BOUND);
  },
);

test.each(seeds)(
  "the bound holds when all instances restart, seed %i",
  (seed) => {
    const { admitted } = runCustomer({
      seed,
      instances: 8,
      requestsPerSecond: 200,
      restartMs: 9_000,
    });
    expect(findWorstWindow(admitted)).toBeLessThanOrEqual(BOUND);
  },
);

test.each(seeds)(
  "below the rate at most one in 100 is refused, seed %i",
  (seed) => {
    const { admitted, requested } = runCustomer({
      seed,
      instances: 8,
      requestsPerSecond: 24,
    });
    expect(requested - admitted.length).toBeLessThanOrEqual(requested / 100);
  },
);

// Guards against a fault after restarts: an instance subtracted all requests
// that its peers had ever admitted from its bucket, and refused everything for
// many seconds.
test("a restarted instance adopts its peers' tokens, not their admissions", () => {
  const fresh = createQuota(10_000, SLACK / 2);
  const report = {
    usage: { incarnation: "1", admitted: 500 },
    previous: undefined,
    tokens: 25,
    ageMs: 60_000,
    wasSilent: false,
    receivedMs: 10_100,
  };
  const one = recordPeerUsage(fresh, report);
  const two = recordPeerUsage(one, report);
  expect(two.tokens).toBe(25);
});

test("all admissions of a peer that has just started are subtracted", () => {
  const old = { ...createQuota(0, 0), tokens: 30 };
  const report = {
    usage: { incarnation: "2", admitted: 4 },
    previous: undefined,
    tokens: 10,
    ageMs: QUOTAS.WARM_UP_MS - 1,
    wasSilent: false,
    receivedMs: 9_000,
  };
  expect(recordPeerUsage(old, report).tokens).toBe(26);
});
