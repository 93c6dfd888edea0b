import type { InFlightWork, LoadMessage } from "@gooseberryline/core";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { FLEET } from "./constants.ts";
import { loadCodec } from "./load_codec.ts";
import { LoadTracker } from "./load_tracker.ts";

const UPSTREAMS = ["u0", "u1", "u2", "__proto__"];
const PEERS = ["p0", "p1", "p2", "p3"];
const BLANK = createView().buildMessage(false);

type Heard = { readonly message: LoadMessage; readonly receivedMs: number };

const UPSTREAM = fc.constantFrom(...UPSTREAMS);
const WORK = fc.record({
  online: fc.integer({ min: 0, max: 3 }),
  batch: fc.integer({ min: 0, max: 3 }),
});
const STEP = fc.record({
  from: fc.constantFrom(...PEERS),
  incarnation: fc.constantFrom("a", "b"),
  sequence: fc.integer({ min: 0, max: 9 }),
  open: fc.dictionary(UPSTREAM, WORK),
  quietMs: fc.dictionary(UPSTREAM, fc.integer({ min: 0, max: 300 })),
  suspects: fc.array(UPSTREAM),
  isLeaving: fc.boolean(),
  isDirect: fc.boolean(),
  passedMs: fc.integer({ min: 0, max: 900 }),
  ageLimitMs: fc.constantFrom(250, 1_500, 4_000),
});

/** Returns a message as a peer receives it. */
function sendOverLink(message: LoadMessage): LoadMessage {
  const received = loadCodec.decode(loadCodec.encode(message));
  if (received === undefined) {
    throw new Error("the message can't be read");
  }
  return received;
}

/** Sums up an upstream's work over whole messages, without an index. */
function countWork(
  heard: readonly Heard[],
  upstreamId: string,
  isCurrent: (heard: Heard) => boolean,
): InFlightWork {
  const reported = heard
    .filter(isCurrent)
    .map(({ message }) => message.open[upstreamId]);
  return {
    online: reported.reduce((sum, work) => sum + (work?.online ?? 0), 0),
    batch: reported.reduce((sum, work) => sum + (work?.batch ?? 0), 0),
  };
}

function findSuspectUntilMs(
  heard: readonly Heard[],
  upstreamId: string,
  nowMs: number,
): number {
  const times = heard
    .filter(({ message }) => message.suspects.includes(upstreamId))
    .map(({ receivedMs }) => receivedMs + FLEET.PEER_SUSPECT_MS)
    .filter((untilMs) => untilMs > nowMs);
  return Math.max(0, ...times);
}

function hasActivity(
  heard: readonly Heard[],
  upstreamId: string,
  sinceMs: number,
): boolean {
  return heard.some(({ message, receivedMs }) => {
    const quietMs = message.quietMs[upstreamId];
    return quietMs !== undefined && receivedMs - quietMs > sinceMs;
  });
}

test("what peers report of an upstream is what their last messages say", () => {
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 60 }), (steps) => {
      const limit = { ageMs: 0 };
      const load = new LoadTracker(() => limit.ageMs);
      const heard = new Map<string, Heard>();
      let nowMs = 0;
      steps.forEach(({ passedMs, ageLimitMs, isDirect, ...said }) => {
        nowMs += passedMs;
        limit.ageMs = ageLimitMs;
        const message = sendOverLink({ ...BLANK, ...said });
        const isNew = load.recordPeerMessage(message, nowMs, isDirect);
        if (isNew && message.isLeaving) {
          heard.delete(message.from);
        } else if (isNew) {
          heard.set(message.from, { message, receivedMs: nowMs });
        }
        const maxAgeMs = Math.max(FLEET.MAX_LOAD_AGE_MS, ageLimitMs);
        const isCurrent = ({ receivedMs }: Heard): boolean =>
          nowMs - receivedMs <= maxAgeMs;
        const all = [...heard.values()];
        UPSTREAMS.forEach((id) => {
          expect(load.countInFlight(id, nowMs)).toEqual(
            countWork(all, id, isCurrent),
          );
          expect(load.getSuspectUntilMs(id, nowMs)).toBe(
            findSuspectUntilMs(all, id, nowMs),
          );
          const sinceMs = nowMs - 400;
          expect(load.hasActivitySince(id, sinceMs)).toBe(
            hasActivity(all, id, sinceMs),
          );
          const items = load.listPeerItems(id, nowMs);
          const batch = items.reduce((sum, peer) => sum + peer.items, 0);
          expect(batch).toBe(countWork(all, id, isCurrent).batch);
        });
      });
    }),
  );
});

// Guards against placements whose work grows as the fleet times its upstreams.
test("a placement does not search the messages of peers", () => {
  const reads = { count: 0 };
  const load = new LoadTracker(() => 0);
  const watched = <Table extends object>(table: Table): Table =>
    new Proxy(table, {
      get: (target, key) => {
        reads.count += 1;
        return Reflect.get(target, key);
      },
    });
  const ids = Array.from({ length: 69 }, (_, n) => `u${n}`);
  Array.from({ length: 194 }, (_, n) => `p${n}`).forEach((from, n) => {
    const open = watched({
      [ids[n % ids.length] ?? ""]: { online: 1, batch: 0 },
    });
    const suspects = watched(["u0"]);
    const message = { ...BLANK, from, open, suspects, quietMs: watched({}) };
    load.recordPeerMessage(message, 0, true);
  });
  reads.count = 0;
  const counted = ids.map((id) => {
    load.getSuspectUntilMs(id, 1);
    load.hasActivitySince(id, 1);
    return load.countInFlight(id, 1).online;
  });
  expect(counted.reduce((sum, online) => sum + online, 0)).toBe(194);
  expect(reads.count).toBe(0);
});
