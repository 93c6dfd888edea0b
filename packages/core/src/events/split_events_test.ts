import fc from "fast-check";
import { expect, test } from "vitest";
import { splitEvents } from "./split_events.ts";
import type { StreamEvent } from "./types.ts";

const NO_BYTES: Buffer = Buffer.alloc(0);

/** Splits a stream that arrives in chunks ending at the given offsets. */
function readStream(bytes: Buffer, chunkEnds: readonly number[]) {
  const ends = [...chunkEnds, bytes.length].sort((a, b) => a - b);
  return ends.reduce(
    ({ events, rest, from }, end) => {
      const split = splitEvents(rest, bytes.subarray(from, end));
      return {
        events: [...events, ...split.events],
        rest: split.rest,
        from: end,
      };
    },
    { events: [] as readonly StreamEvent[], rest: NO_BYTES, from: 0 },
  );
}

const text = Buffer.from(
  'id: 1\ndata: a\ndata: b\n\nevent: x\r\nid: 2\r\ndata: c\r\n\r\n: note\nid: 3\ndata: "é"\n\n',
);

test("events do not depend on the chunk boundaries", () => {
  const unsplit = readStream(text, []);
  expect(unsplit.events.map(({ id }) => id)).toEqual([1, 2, 3]);
  expect(unsplit.events.map(({ data }) => data)).toEqual(["a\nb", "c", '"é"']);
  fc.assert(
    fc.property(fc.array(fc.nat({ max: text.length })), (chunkEnds) => {
      const read = readStream(text, chunkEnds);
      expect(read.events).toEqual(unsplit.events);
      expect(read.rest).toHaveLength(0);
    }),
    { seed: 1 },
  );
});

test("no byte is lost or added", () => {
  fc.assert(
    fc.property(fc.uint8Array(), fc.array(fc.nat()), (data, chunkEnds) => {
      const bytes = Buffer.from(data);
      const inside = chunkEnds.map((chunkEnd) => chunkEnd % (bytes.length + 1));
      const { events, rest } = readStream(bytes, inside);
      const all = [...events.map((event) => event.bytes), rest];
      expect(Buffer.concat(all).equals(bytes)).toBe(true);
    }),
    { seed: 1 },
  );
});

test("an incomplete event is not returned", () => {
  const { events, rest } = splitEvents(NO_BYTES, Buffer.from("id: 1\nda"));
  expect(events).toHaveLength(0);
  expect(rest.toString()).toBe("id: 1\nda");
});
