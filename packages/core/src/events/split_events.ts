import { parseEvent } from "./parse_event.ts";
import type { SplitEvents } from "./types.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Splits a stream into events, each of which ends with an empty line. `pending`
 * holds the bytes of the incomplete event of earlier chunks.
 */
export function splitEvents(pending: Buffer, chunk: Buffer): SplitEvents {
  const bytes = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
  const ends = listEventEnds(bytes);
  const events = ends.map((end, index) =>
    parseEvent(bytes.subarray(index === 0 ? 0 : ends[index - 1], end)),
  );
  return { events, rest: bytes.subarray(ends.at(-1) ?? 0) };
}

/** Returns the offset after the empty line that ends each event. */
function listEventEnds(bytes: Buffer): readonly number[] {
  const ends: number[] = [];
  let lineStart = 0;
  let lineEnd = bytes.indexOf(LINE_FEED);
  while (lineEnd !== -1) {
    const isEmpty =
      lineEnd === lineStart ||
      (lineEnd === lineStart + 1 && bytes[lineStart] === CARRIAGE_RETURN);
    if (isEmpty) {
      ends.push(lineEnd + 1);
    }
    lineStart = lineEnd + 1;
    lineEnd = bytes.indexOf(LINE_FEED, lineStart);
  }
  return ends;
}
