import {
  CRASHES,
  type CrashSuspect,
  type UpstreamEntry,
} from "@gooseberryline/core";
import { CrashTracker } from "../crashes/crash_tracker.ts";

const NO_NEWS = { crashes: [], soundAges: {}, blocks: [], inForce: [] };

/** Trackers of several instances of a test, which share a clock. */
export type CrashTrackers = {
  readonly clock: { nowMs: number };
  readonly trackers: readonly CrashTracker[];
  /** When each upstream last sent data to any instance. */
  readonly activityMs: Map<string, number>;
  readonly listEntry: (id: string, address?: string) => UpstreamEntry;
  /** Tells each instance the news of all others. */
  readonly exchange: () => void;
  /** Lets the time pass in which others may object to a crash. */
  readonly settle: () => void;
  /** Plays a crash: the first two of these instances find the upstream down. */
  readonly crash: (
    upstreamId: string,
    suspect: CrashSuspect,
    first?: number,
  ) => void;
};

/** Creates trackers of `count` instances. */
export function createCrashTrackers(count: number): CrashTrackers {
  const clock = { nowMs: 10_000 };
  const activityMs = new Map<string, number>();
  const listEntry = (id: string, address = `at-${id}`): UpstreamEntry => ({
    id,
    address,
    service: "s",
    dataCentre: "a",
    slots: 8,
    isDraining: false,
    coldUntilMs: 0,
  });
  const trackers = Array.from(
    { length: count },
    (_, index) =>
      new CrashTracker({
        instanceId: `i${index}`,
        readNowMs: () => clock.nowMs,
        readUnixMs: () => clock.nowMs,
        hasActivitySince: (id, sinceMs) => (activityMs.get(id) ?? 0) > sinceMs,
        findUpstream: (id) => listEntry(id),
      }),
  );
  const exchange = (): void => {
    trackers.forEach((from) => {
      const news = from.buildNews();
      trackers
        .filter((to) => to !== from && news !== undefined)
        .forEach((to) => {
          to.recordPeerNews(news ?? NO_NEWS);
        });
    });
  };
  const settle = (): void => {
    clock.nowMs += CRASHES.SETTLE_MS;
    trackers.forEach((tracker) => {
      tracker.review();
    });
  };
  const crash = (
    upstreamId: string,
    suspect: CrashSuspect,
    first = 0,
  ): void => {
    clock.nowMs += 100;
    trackers[first]?.recordDown(upstreamId, clock.nowMs, [suspect]);
    const second = (first + 1) % count;
    trackers[second]?.recordDown(upstreamId, clock.nowMs, []);
    exchange();
  };
  return { clock, trackers, activityMs, listEntry, exchange, settle, crash };
}
