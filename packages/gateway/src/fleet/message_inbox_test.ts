import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { computeGossipIntervalMs } from "./compute_gossip_interval_ms.ts";
import { computeInboxDelayMs } from "./compute_inbox_delay_ms.ts";
import { type Datagram, MessageInbox } from "./message_inbox.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const URGENT = "urgent";

function createInbox(delayMs: number) {
  const turns: string[][] = [];
  const handled: Datagram[] = [];
  let turnAtMs: number | undefined;
  const inbox = new MessageInbox({
    getDelayMs: () => delayMs,
    isUrgent: (bytes) => bytes.toString() === URGENT,
    handle: (datagram) => {
      if (turnAtMs !== Date.now()) {
        turns.push([]);
      }
      turnAtMs = Date.now();
      handled.push(datagram);
      turns.at(-1)?.push(datagram.bytes.toString());
    },
  });
  const add = (text: string): void => {
    const bytes = Buffer.from(text);
    inbox.add({ bytes, sender: "h", receivedMs: Date.now() });
  };
  return { inbox, turns, handled, add };
}

// Guards against a turn for each message of each peer.
test("messages of a large fleet are handled together, in their order", () => {
  const { turns, handled, add } = createInbox(40);
  const startMs = Date.now();
  Array.from({ length: 125 }, (_, n) => `${n}`).forEach((text) => {
    add(text);
    vi.advanceTimersByTime(8);
  });
  vi.advanceTimersByTime(40);
  expect(turns.length).toBeLessThanOrEqual(25);
  expect(turns.flat()).toEqual(Array.from({ length: 125 }, (_, n) => `${n}`));
  expect(handled[3]?.receivedMs).toBe(startMs + 24);
});

test("no message is held longer than the delay", () => {
  const { turns, add } = createInbox(40);
  add("a");
  vi.advanceTimersByTime(39);
  add("b");
  expect(turns).toEqual([]);
  vi.advanceTimersByTime(1);
  expect(turns).toEqual([["a", "b"]]);
});

test("urgent news is handled at once, as is all in a small fleet", () => {
  const large = createInbox(40);
  large.add("a");
  large.add(URGENT);
  expect(large.turns).toEqual([[URGENT]]);
  const small = createInbox(0);
  small.add("a");
  expect(small.turns).toEqual([["a"]]);
});

test("nothing is handled after the stop", () => {
  const { inbox, turns, add } = createInbox(40);
  add("a");
  inbox.stop();
  vi.advanceTimersByTime(100);
  expect(turns).toEqual([]);
});

// Guards against news that gets older as less is woken up for.
test("news is no older than with a message each 8 ms a member", () => {
  [1, 8, 12, 30, 76, 195, 450].forEach((members) => {
    const beforeMs = Math.max(100, members * 8);
    const delayMs = computeInboxDelayMs(members);
    const now = computeGossipIntervalMs(members);
    // At an instance that passes it on, and at the one that hears it.
    expect(now / 2 + (2 * delayMs) / 2).toBeLessThanOrEqual(beforeMs / 2);
    expect(now + 2 * delayMs).toBeLessThanOrEqual(beforeMs);
  });
});
