import { type StreamEvent, splitEvents } from "@gooseberryline/core";
import type { CallReply } from "./types.ts";

const NO_BYTES: Buffer = Buffer.alloc(0);

/** How the bytes of one upstream's stream were taken. */
export type RelayResult = "room" | "full" | "out-of-order";

/**
 * Passes on a stream's whole events as they arrive. An event that its
 * upstream leaves open is not passed on, so the stream can go on elsewhere
 * after the last whole one.
 */
export class StreamRelay {
  readonly #reply: CallReply;
  readonly #onDrain: () => void;
  #held: Buffer = NO_BYTES;
  #lastEventId: number | undefined;
  /** Whether the next id has to follow the last one. */
  #isStarted = false;
  #events = 0;

  constructor(
    reply: CallReply,
    lastEventId: number | undefined,
    onRoom: () => void,
  ) {
    this.#reply = reply;
    this.#lastEventId = lastEventId;
    this.#isStarted = lastEventId !== undefined;
    this.#onDrain = onRoom;
  }

  /** Last event that the caller has. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  get eventCount(): number {
    return this.#events;
  }

  /** Whether the upstream's bytes ended with a whole event. */
  isAtEventBoundary(): boolean {
    return this.#held.length === 0;
  }

  /** Forgets the open event of an upstream that broke off. */
  restart(): void {
    this.#held = NO_BYTES;
  }

  relayChunk(chunk: Buffer): RelayResult {
    const { events, rest } = splitEvents(this.#held, chunk);
    this.#held = rest;
    const inOrder = events.findIndex((event) => !this.#acceptEvent(event));
    const sound = inOrder === -1 ? events : events.slice(0, inOrder);
    const hasRoom = this.#write(sound);
    if (inOrder !== -1) {
      return "out-of-order";
    }
    return hasRoom ? "room" : "full";
  }

  #acceptEvent({ id }: StreamEvent): boolean {
    if (id === undefined) {
      return true;
    }
    const last = this.#lastEventId;
    if (this.#isStarted && last !== undefined && id !== last + 1) {
      return false;
    }
    this.#isStarted = true;
    this.#lastEventId = id;
    return true;
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
