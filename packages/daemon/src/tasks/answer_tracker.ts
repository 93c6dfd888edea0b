import type { IncomingMessage } from "node:http";
import type { AttemptCall } from "./types.ts";
import { watchConnectionEnd } from "./watch_connection_end.ts";

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const EVENT_END = "\n\n";
const EVENT_END_CRLF = "\r\n\r\n";
const DONE_MARKER = /\ndata: ?\[DONE\]\s*$/;
const TAIL_BYTES = 64;
const MAX_PENDING_BYTES = 262_144;
const EMPTY_BUFFER: Buffer = Buffer.alloc(0);

/**
 * Tracks the bytes of an answer to detect whether it is complete. In an event
 * stream it releases complete events only, so that an error event can follow
 * at any point; a chunk that ends at an event boundary is not copied.
 */
export class AnswerTracker {
  readonly isEventStream: boolean;
  readonly #requiresDoneMarker: boolean;
  readonly #answer: IncomingMessage;
  #hasEndedWithConnection = false;
  #tokens = 0;
  #lastEvents: Buffer = EMPTY_BUFFER;
  #held: Buffer = EMPTY_BUFFER;

  constructor(answer: IncomingMessage, { isPlain }: AttemptCall) {
    const type = answer.headers["content-type"] ?? "";
    this.#answer = answer;
    watchConnectionEnd(answer, () => {
      this.#hasEndedWithConnection = true;
    });
    this.isEventStream = type.startsWith("text/event-stream");
    this.#requiresDoneMarker = this.isEventStream && isPlain !== true;
  }

  /** Accepts a chunk and returns the bytes that can be relayed. */
  accept(chunk: Buffer): Buffer {
    if (!this.isEventStream) {
      return chunk;
    }
    if (this.#held.length === 0 && hasEventEnd(chunk)) {
      this.#recordEvents(chunk);
      return chunk;
    }
    const all = Buffer.concat([this.#held, chunk]);
    const events = all.subarray(0, findEventsEnd(all));
    this.#held = all.subarray(events.length);
    this.#recordEvents(events);
    return events;
  }

  /**
   * Bytes of an incomplete event; they are relayed once the answer is complete.
   */
  get held(): Buffer {
    return this.#held;
  }

  /**
   * Returns whether the `[DONE]` marker was received, after which no data is
   * missing.
   */
  hasDoneMarker(): boolean {
    return this.#requiresDoneMarker && hasTrailingDoneMarker(this.#lastEvents);
  }

  /**
   * Returns whether an answer that has ended is complete, judged by its
   * `[DONE]` marker, content length or last chunk. A closed connection alone
   * doesn't distinguish the end of an answer from a lost connection.
   */
  isComplete(): boolean {
    if (this.#requiresDoneMarker) {
      return hasTrailingDoneMarker(
        this.#held.length > 0 ? this.#held : this.#lastEvents,
      );
    }
    return this.#answer.complete && !this.#hasEndedWithConnection;
  }

  /** Returns the number of events of a streamed answer. */
  countTokens(): number {
    return this.#tokens;
  }

  #recordEvents(events: Buffer): void {
    if (events.length === 0) {
      return;
    }
    this.#lastEvents = events;
    const isOneEvent = events.indexOf(EVENT_END) === events.length - 2;
    this.#tokens += isOneEvent ? 1 : countEvents(events);
  }
}

function countEvents(bytes: Buffer): number {
  return bytes.toString("latin1").split(/\r?\n\r?\n/).length - 1;
}

function hasEventEnd(bytes: Buffer): boolean {
  const size = bytes.length;
  const previous = bytes[size - 2];
  const isBlankLine =
    previous === LINE_FEED ||
    (previous === CARRIAGE_RETURN && bytes[size - 3] === LINE_FEED);
  return isBlankLine && bytes[size - 1] === LINE_FEED;
}

/**
 * Returns the end offset of the last complete event, or the total length once
 * the size limit is exceeded.
 */
function findEventsEnd(bytes: Buffer): number {
  if (hasEventEnd(bytes) || bytes.length > MAX_PENDING_BYTES) {
    return bytes.length;
  }
  const plain = bytes.lastIndexOf(EVENT_END);
  const crlf = bytes.lastIndexOf(EVENT_END_CRLF);
  return Math.max(
    plain === -1 ? 0 : plain + EVENT_END.length,
    crlf === -1 ? 0 : crlf + EVENT_END_CRLF.length,
  );
}

function hasTrailingDoneMarker(bytes: Buffer): boolean {
  const tail = bytes.subarray(-TAIL_BYTES).toString("latin1");
  const isEntire = bytes.length <= TAIL_BYTES;
  return DONE_MARKER.test(isEntire ? `\n${tail}` : tail);
}
