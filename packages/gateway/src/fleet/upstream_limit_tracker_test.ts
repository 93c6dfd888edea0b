import { drawRandom, type LoadMessage } from "@gooseberryline/core";
import { expect, test } from "vitest";
import type { GatewaySettings } from "../settings/types.ts";
import { createEntry } from "../testing/create_entry.ts";
import { createView } from "../testing/create_view.ts";
import { FleetView } from "./fleet_view.ts";

const UPSTREAM = createEntry();
const STEP_MS = 10;
const LENGTH_MS = 20_000;
const ANSWER_MS = 50;

type Scenario = {
  readonly serving: number;
  readonly running: number;
  readonly perSecond: number;
  /** Requests per second that the fleet would send. */
  readonly offered: number;
  readonly gossipMs: number;
  /** Whether a message of one instance reaches another. */
  readonly isReachable?: (from: number, to: number, nowMs: number) => boolean;
};

/** Plays requests to an upstream with a limit; returns when they were sent. */
function simulateLimit(scenario: Scenario): readonly number[] {
  const { serving, running, perSecond, offered, gossipMs } = scenario;
  const { isReachable = () => true } = scenario;
  const clock = { nowMs: 0 };
  let seed = 7;
  const draw = (): number => {
    const drawn = drawRandom(seed);
    seed = drawn.seed;
    return drawn.value;
  };
  const settings: GatewaySettings = createView().settings;
  const ids = [
    ...Array.from({ length: serving }, (_, index) => `s${index}`),
    ...Array.from({ length: running }, (_, index) => `r${index}`),
  ];
  const views = ids.map((instanceId) => {
    const duty = instanceId.startsWith("s") ? "serve" : "run";
    const own = { ...settings, instanceId, duty } as const;
    return new FleetView(own, "1", () => clock.nowMs);
  });
  views.forEach((view) => {
    view.directory.set(UPSTREAM);
    views.forEach(({ settings: { instanceId: id, duty } }) => {
      const { dataCentre, host: address } = settings;
      const ports = { port: 1, relayPort: 1 };
      const member = { id, incarnation: "1", address, dataCentre, duty };
      view.members.set({ ...member, ...ports });
    });
  });
  const sent: number[] = [];
  const answers: { atMs: number; sentMs: number; view: FleetView }[] = [];
  const steps = Array.from({ length: LENGTH_MS / STEP_MS }, (_, step) => step);
  steps.forEach((step) => {
    clock.nowMs = step * STEP_MS;
    const { nowMs } = clock;
    views.forEach((view, from) => {
      if ((step + from) % Math.round(gossipMs / STEP_MS) === 0) {
        const message: LoadMessage = view.buildMessage(false);
        views.forEach((peer, to) => {
          if (to !== from && isReachable(from, to, nowMs) && draw() > 0.02) {
            peer.handleMessage(message, true);
          }
        });
      }
    });
    answers
      .filter(({ atMs }) => atMs === nowMs)
      .forEach(({ view, sentMs }) => {
        view.limits.recordAnswer("u1", perSecond, sentMs);
      });
    const requests = Math.floor(draw() + (offered * STEP_MS) / 1_000);
    Array.from(
      { length: requests },
      () => views[Math.floor(draw() * views.length)],
    ).forEach((view) => {
      if (view?.listCandidates("s", "online")[0]?.isRateOpen === true) {
        view.recordSend(UPSTREAM, "online");
        sent.push(nowMs);
        answers.push({ atMs: nowMs + ANSWER_MS, sentMs: nowMs, view });
      }
    });
  });
  return sent;
}

/** Returns the most requests of any 4 s, from `fromMs` on. */
function countWorstWindow(sent: readonly number[], fromMs: number): number {
  return Math.max(
    0,
    ...sent
      .filter((atMs) => atMs >= fromMs)
      .map(
        (start) =>
          sent.filter((atMs) => atMs >= start && atMs < start + 4_000).length,
      ),
  );
}

test.each([
  ["12 instances, a low limit", 8, 4, 3.2, 100],
  ["12 instances, a high limit", 8, 4, 20, 100],
  ["one instance", 1, 0, 3.2, 100],
  ["75 instances", 64, 11, 3, 600],
] as const)("a limit is kept over the fleet: %s", (...row) => {
  const [, serving, running, perSecond, gossipMs] = row;
  const offered = perSecond * 10;
  const sent = simulateLimit({
    serving,
    running,
    perSecond,
    offered,
    gossipMs,
  });
  const allowed = perSecond * 4 * 1.5 + 5;
  expect(countWorstWindow(sent, 1_000)).toBeLessThanOrEqual(allowed);
});

test("a limit is used up by the instances that may send", () => {
  const sent = simulateLimit({
    serving: 8,
    running: 4,
    perSecond: 3.2,
    offered: 100,
    gossipMs: 100,
  });
  const used = sent.filter((atMs) => atMs > 4_000).length / 16;
  expect(used).toBeGreaterThan(0.8 * 3.2);
});

test("a limit is kept while the instances hear nothing of each other", () => {
  const sent = simulateLimit({
    serving: 8,
    running: 4,
    perSecond: 3.2,
    offered: 100,
    gossipMs: 100,
    isReachable: (_, __, nowMs) => nowMs < 5_000 || nowMs > 12_000,
  });
  expect(countWorstWindow(sent, 1_000)).toBeLessThanOrEqual(3.2 * 6 + 5);
});

test("a limit that an upstream no longer names is lifted for all", () => {
  const clock = { nowMs: 0 };
  const view = createView();
  const peer = new FleetView(
    { ...view.settings, instanceId: "i2" },
    "1",
    () => clock.nowMs,
  );
  peer.limits.recordAnswer("u1", 3, 0);
  view.handleMessage(peer.buildMessage(false), true);
  expect(view.limits.canSend("u1", "online", view.readNowMs())).toBe(false);
  clock.nowMs = 100;
  peer.limits.recordAnswer("u1", undefined, 50);
  view.handleMessage(peer.buildMessage(false), true);
  expect(view.limits.canSend("u1", "online", view.readNowMs())).toBe(true);
});
