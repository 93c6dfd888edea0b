import { expect, test } from "vitest";
import { historyRecord } from "../streams/history_record.ts";
import { createView } from "../testing/create_view.ts";
import { loadCodec } from "./load_codec.ts";

const NAMES = ["__proto__", "constructor", "toString", "", "a b", "\u4e2d"];

function buildTable<Value>(value: Value): Readonly<Record<string, Value>> {
  return Object.fromEntries(NAMES.map((name) => [name, value]));
}

function createMessage() {
  return {
    ...createView().buildMessage(false),
    open: buildTable({ online: 1, batch: 2 }),
    quietMs: buildTable(3),
    use: buildTable({ admitted: 4, tokens: 5 }),
    listed: buildTable(6),
    limits: buildTable({ perSecond: 7, ageMs: 8, admitted: 9, tokens: 10 }),
  };
}

// Guards against upstreams that nobody used, as their load could not be told.
test("a peer hears of work under any name, and of none that was not told", () => {
  const message = createMessage();
  const heard = loadCodec.decode(loadCodec.encode(message));
  NAMES.forEach((name) => {
    expect(heard?.open[name]).toEqual({ online: 1, batch: 2 });
    expect(heard?.quietMs[name]).toBe(3);
    expect(heard?.use[name]).toEqual({ admitted: 4, tokens: 5 });
    expect(heard?.listed[name]).toBe(6);
    expect(heard?.limits?.[name]?.perSecond).toBe(7);
  });
  const empty = loadCodec.decode(
    loadCodec.encode({ ...message, open: {}, quietMs: {} }),
  );
  NAMES.forEach((name) => {
    expect(empty?.open[name]).toBeUndefined();
    expect(empty?.quietMs[name]).toBeUndefined();
  });
});

test("a message with a table that is no object is not heard", () => {
  const bytes = Buffer.from(JSON.stringify({ ...createMessage(), open: [] }));
  expect(loadCodec.decode(bytes)).toBeUndefined();
});

// Guards against a check of numbers that lets others through.
test("a message with a value of a table that is no number is not heard", () => {
  const message = createMessage();
  const odd = [
    { open: { u: { online: "1", batch: 0 } } },
    { open: { u: { online: 1 } } },
    { open: { u: null } },
    { use: { t: { admitted: 1, tokens: [] } } },
    { use: { t: { admitted: 1, tokens: 1, askedPerSecond: null } } },
    { use: { t: { admitted: 1, tokens: 1, askedPerSecond: "1" } } },
    { quietMs: { u: "3" } },
    { seen: { u: null } },
    { listed: { u: {} } },
    { listed: null },
    { listed: undefined },
  ];
  odd.forEach((fields) => {
    const bytes = Buffer.from(JSON.stringify({ ...message, ...fields }));
    expect(loadCodec.decode(bytes)).toBeUndefined();
  });
  const text = JSON.stringify({ ...message, listed: { u: 7 } });
  const infinite = Buffer.from(text.replace('{"u":7}', '{"u":1e999}'));
  expect(loadCodec.decode(infinite)).toBeUndefined();
});

test("only a message marked as urgent reads as urgent, whatever names it has", () => {
  const mark = '"isUrgent":true';
  const message = {
    ...createMessage(),
    listed: { [mark]: 1 },
    unheard: [mark],
  };
  expect(loadCodec.isUrgent(loadCodec.encode(message))).toBe(false);
  const urgent = loadCodec.encode({ ...message, isUrgent: true });
  expect(loadCodec.isUrgent(urgent)).toBe(true);
  expect(loadCodec.decode(urgent)?.isUrgent).toBe(true);
});

// Guards against a history that was written again and again, as names were lost.
test("versions of any name stay in a service's history", () => {
  const versions = buildTable(null);
  const history = { service: "s", sinceMs: 1, versions };
  const read = historyRecord.decode(historyRecord.encode(history));
  expect(Object.keys(read?.versions ?? {})).toEqual(Object.keys(versions));
});

// Guards against news of limits that no peer could read, so that it was deaf.
test("an instance is heard that knows limits of upstreams of any name", () => {
  const view = createView();
  NAMES.forEach((name) => {
    view.limits.recordAnswer(name, 10, view.readNowMs());
  });
  const heard = loadCodec.decode(loadCodec.encode(view.buildMessage(false)));
  expect(heard?.limits?.constructor).toMatchObject({ perSecond: 10 });
});
