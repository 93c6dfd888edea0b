import type { LogValue } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { callErrors } from "../requests/call_errors.ts";
import { createView } from "../testing/create_view.ts";
import { SILENT_LOG } from "../testing/silent_log.ts";
import { SMALL_LIMITS } from "../testing/small_limits.ts";
import { ConfigFreshness } from "./config_freshness.ts";
import { REFUSALS } from "./constants.ts";
import { RefusalRecorder } from "./refusal_recorder.ts";

type Line = Readonly<Record<string, LogValue>>;

const CALL = { requestId: "r1", host: "h1" };

function createRecorder() {
  const clock = { nowMs: 0 };
  const view = createView();
  view.readNowMs = () => clock.nowMs;
  const lines: Line[] = [];
  const counted: string[] = [];
  const freshness = new ConfigFreshness(() => clock.nowMs);
  const recorder = new RefusalRecorder({
    view,
    freshness,
    log: {
      ...SILENT_LOG,
      info: (event, fields) => lines.push({ event, ...fields }),
    },
    onRefused: (status, code) => counted.push(`${status} ${code}`),
  });
  return { clock, view, lines, counted, freshness, recorder };
}

test("a refusal says what it was decided by, and how old that was", () => {
  const { clock, view, lines, freshness, recorder } = createRecorder();
  recorder.record(callErrors.unknownKey(), CALL);
  view.adoptConfig({
    revision: 7,
    routes: [],
    services: [],
    access: { kind: "open" },
    limits: SMALL_LIMITS,
  });
  clock.nowMs = 100;
  freshness.recordAdopted();
  clock.nowMs = 150;
  freshness.recordStoreContact(true);
  freshness.recordPeerRevision(9);
  freshness.recordPeerRevision(8);
  clock.nowMs = 250;
  freshness.recordStoreContact(false);
  recorder.record(callErrors.unknownKey(), CALL);
  const line = { event: "request-refused", ...CALL, code: "unknown_key" };
  const unknown = { configAgeMs: undefined, storeAgeMs: undefined };
  expect(lines).toMatchObject([
    { ...line, ...unknown, revision: undefined, peerRevision: 0 },
    { ...line, configAgeMs: 150, storeAgeMs: 100, revision: 7 },
  ]);
  expect(lines[1]).toMatchObject({ peerRevision: 9, status: 401 });
});

test("all errors are counted, only refusals for good are logged", () => {
  const { lines, counted, recorder } = createRecorder();
  recorder.record(callErrors.notReady("starting"), CALL);
  recorder.record(callErrors.upstreamFailed("lost"), CALL);
  recorder.record(callErrors.notFound("no_job", "there is none"), CALL);
  expect(counted).toEqual(["503 unready", "502 upstream_failed", "404 no_job"]);
  expect(lines.map(({ code }) => code)).toEqual(["no_job"]);
});

test("a flood of one refusal hides no other and is told in numbers", () => {
  const { clock, lines, counted, recorder } = createRecorder();
  const flood = REFUSALS.LINES_PER_SECOND + 5;
  Array.from({ length: flood }).forEach(() => {
    recorder.record(callErrors.unknownKey(), CALL);
  });
  recorder.record(callErrors.tooLarge("over 1 byte"), CALL);
  expect(lines).toHaveLength(REFUSALS.LINES_PER_SECOND + 1);
  expect(counted).toHaveLength(flood + 1);
  clock.nowMs = 1_000;
  recorder.record(callErrors.unknownKey(), CALL);
  recorder.record(callErrors.unknownKey(), CALL);
  expect(lines.slice(-2).map(({ omitted }) => omitted)).toEqual([5, 0]);
});
