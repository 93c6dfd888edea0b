import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { FLEET } from "./constants.ts";
import { LoadTracker } from "./load_tracker.ts";

function createTracker() {
  const load = new LoadTracker(() => FLEET.MAX_LOAD_AGE_MS);
  const news: number[] = [];
  const fail = (atMs: number): void => {
    load.onNewSuspect = () => news.push(atMs);
    load.recordFailure("u1", atMs);
  };
  return { load, news, fail };
}

// Guards against a fleet that goes on sending to a full upstream until its next message.
test("peers are to hear at once of an upstream that fails, and not again while it is avoided", () => {
  const { load, news, fail } = createTracker();
  fail(1_000);
  fail(1_001);
  expect(news).toEqual([1_000]);
  load.recordSuccess("u1");
  fail(1_100);
  expect(news).toEqual([1_000, 1_100]);
});

test("what a peer has told is no news", () => {
  const { load, news, fail } = createTracker();
  const message = createView().buildMessage(false);
  load.recordPeerMessage({ ...message, suspects: ["u1"] }, 1_000, true);
  fail(1_001);
  expect(news).toEqual([]);
  fail(1_001 + FLEET.MAX_SUSPECT_MS);
  expect(news).toHaveLength(1);
});
