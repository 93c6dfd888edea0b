import { AnswerBuffer } from "../exchange/answer_buffer.ts";
import type { HeldBytes } from "../exchange/held_bytes.ts";
import type { ExchangeHead } from "../exchange/types.ts";
import { REQUESTS } from "./constants.ts";
import { isStreamAnswer } from "./is_stream_answer.ts";
import { StreamRelay } from "./stream_relay.ts";
import type { AdmittedCall, CallReply } from "./types.ts";

type CallerAnswerParts = {
  readonly call: AdmittedCall;
  readonly reply: CallReply;
  readonly held: HeldBytes;
  /** Called when the caller has room for more. */
  readonly onDrain: () => void;
  /** Called when the answer to the caller begins. */
  readonly onStart: () => void;
};

/** What became of a chunk; `reason` says why the answer can't go on. */
type ChunkResult =
  | { readonly kind: "room" | "full" }
  | { readonly kind: "unusable"; readonly reason: string };

/** The answer to a caller: events as they come, anything else once it is whole. */
export class CallerAnswer {
  readonly #parts: CallerAnswerParts;
  readonly #relay: StreamRelay;
  readonly #body: AnswerBuffer;
  #head: ExchangeHead | undefined;
  #hasStarted = false;

  constructor(parts: CallerAnswerParts) {
    const { call, reply, held, onDrain } = parts;
    this.#parts = parts;
    this.#body = new AnswerBuffer(held);
    this.#relay = new StreamRelay(reply, call.head.lastEventId, onDrain);
  }

  /** Whether the caller has received part of it. */
  get hasStarted(): boolean {
    return this.#hasStarted;
  }

  /** Status of the last attempt's answer; 0 without one. */
  get status(): number {
    return this.#head?.status ?? 0;
  }

  /** Whether the last attempt's answer ends with its connection alone. */
  get isCloseDelimited(): boolean {
    return this.#head?.isCloseDelimited === true;
  }

  /** Id of the last event sent to the caller. */
  get lastEventId(): number | undefined {
    return this.#relay.lastEventId;
  }

  get eventCount(): number {
    return this.#relay.eventCount;
  }

  get isStream(): boolean {
    return isStreamAnswer(this.#parts.call.route, this.#head);
  }

  /** Prepares for the answer of another attempt. */
  restart(): void {
    this.#head = undefined;
    this.#body.drop();
    this.#relay.restart();
  }

  setHead(head: ExchangeHead): void {
    this.#head = head;
  }

  addChunk(chunk: Buffer): ChunkResult {
    if (!this.isStream) {
      return this.#body.append(chunk)
        ? { kind: "room" }
        : { kind: "unusable", reason: "the answer is too long" };
    }
    this.#start();
    const kind = this.#relay.relayChunk(chunk);
    return kind === "room" || kind === "full"
      ? { kind }
      : { kind: "unusable", reason: REQUESTS.DROP_REASONS[kind] };
  }

  /** Ends a stream; returns false if its last event is cut off. */
  finishStream(): boolean {
    if (!this.#relay.isAtEventBoundary()) {
      return false;
    }
    // A stream resumed after its last event has a head but no events.
    this.#start();
    this.#parts.reply.finishStream();
    return true;
  }

  /** Sends a whole answer; returns false if there is none, or events came first. */
  sendWhole(): boolean {
    if (this.#hasStarted || this.#head === undefined) {
      return false;
    }
    const { reply } = this.#parts;
    const body = this.#body.read();
    // Before the answer goes, since it may be written out at once.
    const release = this.#body.handOver(() => reply.closeConnection());
    reply.sendResponse(this.#head, body);
    reply.onWritten(release);
    return true;
  }

  /** Gives up what is held of a body. */
  drop(): void {
    this.#body.drop();
  }

  #start(): void {
    if (!this.#hasStarted && this.#head !== undefined) {
      this.#hasStarted = true;
      this.#parts.onStart();
      this.#parts.reply.startStream(this.#head);
    }
  }
}
