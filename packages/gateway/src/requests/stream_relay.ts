import {
  isNextEvent,
  type StreamEvent,
  splitEvents,
} from "@gooseberryline/core";
import { EXCHANGE } from "../exchange/constants.ts";
import type { CallReply } from "./types.ts";

const NO_BYTES: Buffer = Buffer.alloc(0);

/**
 * Result of relaying a chunk; `full` means that the caller's buffer is full,
 * `too-long` that the event which has begun does not end.
 */
export type RelayResult = "room" | "full" | "out-of-order" | "too-long";

/**
 * Relays a stream's complete events as they arrive. A partial event is held
 * back, so that another upstream can resume the stream after the last complete
 * event.
 */
export class StreamRelay {
  readonly #reply: CallReply;
  readonly #onDrain: () => void;
  #held: Buffer = NO_BYTES;
  #lastEventId: number | undefined;
  #events = 0;
  /** Whether what comes next has to show that it follows. */
  #isResuming = false;

  constructor(
    reply: CallReply,
    lastEventId: number | undefined,
    onDrain: () => void,
  ) {
    this.#reply = reply;
    this.#lastEventId = lastEventId;
    this.#onDrain = onDrain;
  }

  /** Id of the last event sent to the caller. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  get eventCount(): number {
    return this.#events;
  }

  /** Returns whether the bytes received so far end with a complete event. */
  isAtEventBoundary(): boolean {
    return this.#held.length === 0;
  }

  /**
   * Discards the partial event of a previous upstream. If events were relayed, the
   * first of the next upstream has to name its place after them.
   */
  restart(): void {
    this.#held = NO_BYTES;
    this.#isResuming = this.#events > 0;
  }

  relayChunk(chunk: Buffer): RelayResult {
    const { events, rest } = splitEvents(this.#held, chunk);
    this.#held = rest;
    const firstOutOfOrder = events.findIndex(
      (event) => !this.#acceptEvent(event),
    );
    const valid =
      firstOutOfOrder === -1 ? events : events.slice(0, firstOutOfOrder);
    const hasRoom = this.#write(valid);
    if (firstOutOfOrder !== -1) {
      return "out-of-order";
    }
    if (this.#held.length > EXCHANGE.MAX_EVENT_BYTES) {
      return "too-long";
    }
    return hasRoom ? "room" : "full";
  }

  #acceptEvent({ id }: StreamEvent): boolean {
    const isNext = isNextEvent(id, this.#lastEventId, this.#isResuming);
    if (isNext && id !== undefined) {
      this.#isResuming = false;
      this.#lastEventId = id;
    }
    return isNext;
  }

  #write(events: readonly StreamEvent[]): boolean {
    if (events.length === 0) {
      return true;
    }
    this.#events += events.length;
    const bytes = Buffer.concat(events.map((event) => event.bytes));
    return this.#reply.writeStream(bytes, this.#onDrain);
  }
}
