import type { IncomingMessage } from "node:http";
import type { AttemptCall } from "./types.ts";

const LINE_FEED = 10;
const RETURN = 13;
const EVENT_END = "\n\n";
const EVENT_END_CRLF = "\r\n\r\n";
const END_MARK = /\ndata: ?\[DONE\]\s*$/;
const TAIL_BYTES = 64;
const MAX_HELD_BYTES = 262_144;
const NO_BYTES: Buffer = Buffer.alloc(0);

/**
 * Follows an answer's bytes to tell whether it arrived whole. Of an event
 * stream it lets whole events through, so that an error event can follow at
 * any moment; a chunk that ends an event passes without a copy.
 */
export class AnswerMarks {
  readonly isEventStream: boolean;
  readonly #needsEndMark: boolean;
  readonly #isHead: boolean;
  readonly #answer: IncomingMessage;
  #tokens = 0;
  #last: Buffer = NO_BYTES;
  #held: Buffer = NO_BYTES;

  constructor(answer: IncomingMessage, { method, isPlain }: AttemptCall) {
    const type = answer.headers["content-type"] ?? "";
    this.#answer = answer;
    this.isEventStream = type.startsWith("text/event-stream");
    this.#isHead = method === "HEAD";
    this.#needsEndMark = this.isEventStream && isPlain !== true;
  }

  /** Takes a chunk; returns the bytes that may be passed on. */
  note(chunk: Buffer): Buffer {
    if (!this.isEventStream) {
      return chunk;
    }
    if (this.#held.length === 0 && hasEventEnd(chunk)) {
      this.#noteEvents(chunk);
      return chunk;
    }
    const all = Buffer.concat([this.#held, chunk]);
    const whole = all.subarray(0, findEventsEnd(all));
    this.#held = all.subarray(whole.length);
    this.#noteEvents(whole);
    return whole;
  }

  /** Bytes that were held back; once an answer is whole they may go on. */
  get held(): Buffer {
    return this.#held;
  }

  /** Whether the end mark was seen: nothing is missing from here on. */
  hasEndMark(): boolean {
    return this.#needsEndMark && isEndMark(this.#last);
  }

  /**
   * Whether all of the answer arrived, once it has ended. Its end mark, its
   * length or its last chunk has to show it; a closed connection alone does
   * not tell an end from a loss.
   */
  isWhole(): boolean {
    if (this.#needsEndMark) {
      return isEndMark(this.#held.length > 0 ? this.#held : this.#last);
    }
    const isKnown = this.#isHead || hasKnownEnd(this.#answer);
    return this.#answer.complete && isKnown;
  }

  /** Events of a streamed answer. */
  countTokens(): number {
    return this.#tokens;
  }

  #noteEvents(whole: Buffer): void {
    if (whole.length === 0) {
      return;
    }
    this.#last = whole;
    const isOneEvent = whole.indexOf(EVENT_END) === whole.length - 2;
    this.#tokens += isOneEvent ? 1 : countEvents(whole);
  }
}

function countEvents(bytes: Buffer): number {
  return bytes.toString("latin1").split(/\r?\n\r?\n/).length - 1;
}

function hasEventEnd(bytes: Buffer): boolean {
  const size = bytes.length;
  const before = bytes[size - 2];
  const isBlankLine =
    before === LINE_FEED ||
    (before === RETURN && bytes[size - 3] === LINE_FEED);
  return isBlankLine && bytes[size - 1] === LINE_FEED;
}

/** Where the last whole event ends; everything once too much is held. */
function findEventsEnd(bytes: Buffer): number {
  if (hasEventEnd(bytes) || bytes.length > MAX_HELD_BYTES) {
    return bytes.length;
  }
  const plain = bytes.lastIndexOf(EVENT_END);
  const crlf = bytes.lastIndexOf(EVENT_END_CRLF);
  return Math.max(
    plain === -1 ? 0 : plain + EVENT_END.length,
    crlf === -1 ? 0 : crlf + EVENT_END_CRLF.length,
  );
}

function isEndMark(bytes: Buffer): boolean {
  const tail = bytes.subarray(-TAIL_BYTES).toString("latin1");
  const isAll = bytes.length <= TAIL_BYTES;
  return END_MARK.test(isAll ? `\n${tail}` : tail);
}

function hasKnownEnd({ headers, statusCode }: IncomingMessage): boolean {
  const isBodiless = statusCode === 204 || statusCode === 304;
  return (
    isBodiless ||
    headers["content-length"] !== undefined ||
    (headers["transfer-encoding"] ?? "").endsWith("chunked")
  );
}
