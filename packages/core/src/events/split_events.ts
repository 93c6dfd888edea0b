import { parseEvent } from "./parse_event.ts";
import type { SplitEvents } from "./types.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Splits the bytes of a stream after each empty line. */
export function splitEvents(held: Buffer, chunk: Buffer): SplitEvents {
  const bytes = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
  const ends = listEnds(bytes);
  const events = ends.map((end, index) =>
    parseEvent(bytes.subarray(index === 0 ? 0 : ends[index - 1], end)),
  );
  return { events, rest: bytes.subarray(ends.at(-1) ?? 0) };
}

/** Offsets after the empty line that ends each event. */
function listEnds(bytes: Buffer): readonly number[] {
  const ends: number[] = [];
  let lineStart = 0;
  let at = bytes.indexOf(LINE_FEED);
  while (at !== -1) {
    const isEmpty =
      at === lineStart ||
      (at === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
    if (isEmpty) {
      ends.push(at + 1);
    }
    lineStart = at + 1;
    at = bytes.indexOf(LINE_FEED, lineStart);
  }
  return ends;
}
