import {
  assertNever,
  getVersion,
  isNextEvent,
  type StreamEvent,
  splitEvents,
  type UpstreamEntry,
} from "@gooseberryline/core";
import { EXCHANGE } from "../exchange/constants.ts";
import type { ExchangeHead } from "../exchange/types.ts";
import {
  Attempt,
  type AttemptParts,
  type AttemptResult,
} from "../requests/attempt.ts";
import { buildItemHeaders } from "./build_item_headers.ts";
import { JOB_CONSTANTS } from "./constants.ts";
import type { ItemRunEnd, ItemText, WaitingItem } from "./types.ts";

type ItemRunParts = AttemptParts & {
  readonly host: string;
  readonly customer: string;
  readonly onEnd: (end: ItemRunEnd) => void;
};

/** Size of an output: its characters, and its bytes as encoded in a result. */
type TextSize = { readonly length: number; readonly bytes: number };

const NO_BYTES: Buffer = Buffer.alloc(0);
const OK = 200;

/** One run of an item at one upstream; resumes after the last known event. */
export class ItemRun {
  readonly waiting: WaitingItem;
  readonly upstream: UpstreamEntry;
  readonly #parts: ItemRunParts;
  readonly #attempt: Attempt;
  readonly #texts: string[];
  /** Size of the texts. */
  #size: TextSize;
  /** Length of an answer that is no output, in bytes. */
  #passed = 0;
  #lastEventId: number | undefined;
  #head: ExchangeHead | undefined;
  #held: Buffer = NO_BYTES;
  readonly #startedMs: number;
  #isYielded = false;
  #isEnded = false;

  constructor(
    waiting: WaitingItem,
    upstream: UpstreamEntry,
    parts: ItemRunParts,
  ) {
    this.waiting = waiting;
    this.upstream = upstream;
    this.#parts = parts;
    this.#startedMs = parts.view.readNowMs();
    this.#texts = [...waiting.text.texts];
    this.#size = this.#texts.reduce(addText, { length: 0, bytes: 0 });
    this.#lastEventId = waiting.text.lastEventId;
    const { customer } = parts;
    const { promptParts, size } = waiting;
    this.#attempt = new Attempt(
      {
        upstream,
        lane: "batch",
        key: undefined,
        promptParts,
        customer,
        tokens: size,
      },
      this.#buildRequest(),
      parts,
      {
        onHead: (head) => {
          this.#head = head;
        },
        onChunk: (chunk) => this.#handleChunk(chunk),
        onEnd: (end) => this.#handleExchangeEnd(end),
        countEvents: () => this.#texts.length - waiting.text.texts.length,
      },
    );
  }

  /** Whether the run gave up its slot to online requests. */
  get isYielded(): boolean {
    return this.#isYielded;
  }

  /**
   * Returns the item with its current partial output and run time, as at a usual
   * upstream.
   */
  describe(): WaitingItem {
    const { view } = this.#parts;
    const slowness = view.speeds.getSlowness(this.upstream, view.readNowMs());
    const ranMs = this.waiting.ranMs + this.measureRunMs() / slowness;
    return { ...this.waiting, text: this.#getText(), ranMs };
  }

  /** Stops the run to free its slot for online requests. */
  yieldSlot(): void {
    this.#isYielded = true;
    this.stop("online work needs the slot");
  }

  /** Cancels the attempt and reports the partial output. */
  stop(reason: string): void {
    if (!this.#isEnded) {
      this.#attempt.cancel();
      this.#end({ kind: "interrupted", reason, text: this.#getText() });
    }
  }

  /** Returns the time since its start, in ms. */
  measureRunMs(): number {
    return this.#parts.view.readNowMs() - this.#startedMs;
  }

  #buildRequest() {
    const { dialect, host, customer } = this.#parts;
    const { item } = this.waiting;
    const lastEventId = this.#lastEventId;
    return {
      address: this.upstream.address,
      method: "POST",
      path: item.path,
      buildHeaders: () =>
        buildItemHeaders(item, dialect, {
          host,
          customer,
          upstreamId: this.upstream.id,
          remainingMs: JOB_CONSTANTS.RUN_TIMEOUT_MS,
          lastEventId,
        }),
      body: Buffer.from(item.body, "base64"),
      requestId: item.id,
      lastConnection: this.waiting.lastConnection,
      isIdempotent: true,
      headTimeoutMs: JOB_CONSTANTS.RESPONSE_HEAD_TIMEOUT_MS,
      stallTimeoutMs: JOB_CONSTANTS.STREAM_IDLE_TIMEOUT_MS,
    };
  }

  #handleChunk(chunk: Buffer): boolean {
    if (this.#head?.status !== OK || !this.#head.isEventStream) {
      return this.#passOver(chunk);
    }
    const { events, rest } = splitEvents(this.#held, chunk);
    this.#held = rest;
    if (!events.every((event) => this.#appendEvent(event))) {
      this.stop("events out of order");
      return false;
    }
    return this.#checkLength();
  }

  /** Reads on in an answer that is no output, unless it does not end. */
  #passOver({ length }: Buffer): boolean {
    this.#passed += length;
    const isTooLong = this.#passed > EXCHANGE.MAX_REFUSAL_BYTES;
    if (isTooLong && !this.#isEnded) {
      this.#attempt.cancel();
      this.#end(this.#decideRunEnd(this.#getText()));
    }
    return !isTooLong;
  }

  /** Stops a run whose output does not end; returns whether it goes on. */
  #checkLength(): boolean {
    const isTooLong =
      this.#size.length > JOB_CONSTANTS.MAX_TEXT_LENGTH ||
      this.#size.bytes > JOB_CONSTANTS.MAX_TEXT_BYTES ||
      this.#held.length > EXCHANGE.MAX_EVENT_BYTES;
    if (isTooLong) {
      // What has come so far is not the item's output.
      this.#texts.splice(0);
      this.#lastEventId = undefined;
      this.stop("the output is too long");
    }
    return !isTooLong;
  }

  #appendEvent({ id, data }: StreamEvent): boolean {
    const last = this.#lastEventId;
    const isResuming =
      this.#texts.length === this.waiting.text.texts.length &&
      last !== undefined;
    if (!isNextEvent(id, last, isResuming)) {
      return false;
    }
    if (data !== undefined) {
      this.#texts.push(data);
      this.#size = addText(this.#size, data);
    }
    this.#lastEventId = id ?? last;
    return true;
  }

  #handleExchangeEnd(end: AttemptResult): void {
    const text = this.#getText();
    switch (end.kind) {
      case "whole":
        this.#end(this.#decideRunEnd(text));
        return;
      case "unsent": {
        const kind = end.isUnbuilt === true ? "unbuilt" : "interrupted";
        this.#end({ kind, reason: end.reason, text });
        return;
      }
      case "lost":
        this.#end({ kind: "interrupted", reason: end.reason, text });
        return;
      case "unexecuted": {
        const reason = `declined with ${end.status}`;
        this.#end({ kind: "interrupted", reason, text });
        return;
      }
      default:
        assertNever(end);
    }
  }

  #decideRunEnd(text: ItemText): ItemRunEnd {
    const status = this.#head?.status ?? 0;
    if (status !== OK) {
      return { kind: "status", status, text };
    }
    const isComplete = this.#held.length === 0 && this.#head?.isEventStream;
    return isComplete === true
      ? { kind: "completed", text }
      : { kind: "interrupted", reason: "the last event is cut off", text };
  }

  #getText(): ItemText {
    const { text } = this.waiting;
    const { service } = this.upstream;
    const version = getVersion(this.upstream);
    return {
      texts: this.#texts,
      lastEventId: this.#lastEventId,
      origin:
        text.lastEventId === undefined ? { service, version } : text.origin,
    };
  }

  #end(end: ItemRunEnd): void {
    if (!this.#isEnded) {
      this.#isEnded = true;
      this.#parts.onEnd(end);
    }
  }
}

function addText({ length, bytes }: TextSize, text: string): TextSize {
  return {
    length: length + text.length,
    bytes: bytes + Buffer.byteLength(JSON.stringify(text)),
  };
}
