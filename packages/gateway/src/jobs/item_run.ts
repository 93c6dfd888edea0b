import {
  assertNever,
  type StreamEvent,
  splitEvents,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { ExchangeEnd, ExchangeHead } from "../exchange/types.ts";
import { Attempt, type AttemptParts } from "../requests/attempt.ts";
import { JOB_TIMES } from "./constants.ts";
import type { ItemRunEnd, ItemText, WaitingItem } from "./types.ts";

type RunParts = AttemptParts & {
  readonly host: string;
  readonly customer: string;
  readonly onEnd: (end: ItemRunEnd) => void;
};

const NO_BYTES: Buffer = Buffer.alloc(0);
const OK = 200;

/** One run of an item at one upstream; goes on after the text it has. */
export class ItemRun {
  readonly waiting: WaitingItem;
  readonly upstream: UpstreamEntry;
  readonly #parts: RunParts;
  readonly #attempt: Attempt;
  readonly #texts: string[];
  #lastEventId: number | undefined;
  #head: ExchangeHead | undefined;
  #held: Buffer = NO_BYTES;
  readonly #startedMs: number;
  #isYielded = false;
  #isOver = false;

  constructor(waiting: WaitingItem, upstream: UpstreamEntry, parts: RunParts) {
    this.waiting = waiting;
    this.upstream = upstream;
    this.#parts = parts;
    this.#startedMs = parts.view.readNowMs();
    this.#texts = [...waiting.text.texts];
    this.#lastEventId = waiting.text.lastEventId;
    this.#attempt = new Attempt(upstream, "batch", this.#buildOrder(), parts, {
      onHead: (head) => {
        this.#head = head;
      },
      onChunk: (chunk) => this.#takeChunk(chunk),
      onEnd: (end) => this.#takeEnd(end),
    });
  }

  /** Whether it made room for online work. */
  get isYielded(): boolean {
    return this.#isYielded;
  }

  /** The item with what it has by now. */
  describe(): WaitingItem {
    const ranMs = this.waiting.ranMs + this.countRanMs();
    return { ...this.waiting, text: this.#getText(), ranMs };
  }

  /** Makes room for online work. */
  yieldSlot(): void {
    this.#isYielded = true;
    this.interrupt("online work needs the slot");
  }

  /** Takes the item back; its text so far is kept. */
  interrupt(reason: string): void {
    if (!this.#isOver) {
      this.#attempt.cancel();
      this.#end({ kind: "interrupted", reason, text: this.#getText() });
    }
  }

  /** Time since its start, in ms. */
  countRanMs(): number {
    return this.#parts.view.readNowMs() - this.#startedMs;
  }

  #buildOrder() {
    const { dialect, host, customer } = this.#parts;
    const { item } = this.waiting;
    const headers = { ...item.headers, host };
    return {
      address: this.upstream.address,
      method: "POST",
      path: item.path,
      headers: dialect.buildHeaders(headers, {
        requestId: item.id,
        upstreamId: this.upstream.id,
        customer: customer === "" ? undefined : customer,
        leftMs: JOB_TIMES.RUN_MS,
        lastEventId: this.#lastEventId,
      }),
      body: Buffer.from(item.body, "base64"),
      requestId: item.id,
      isIdempotent: true,
      headWithinMs: JOB_TIMES.HEAD_MS,
      pauseWithinMs: JOB_TIMES.PAUSE_MS,
    };
  }

  #takeChunk(chunk: Buffer): boolean {
    if (this.#head?.status !== OK) {
      return true;
    }
    const { events, rest } = splitEvents(this.#held, chunk);
    this.#held = rest;
    if (!events.every((event) => this.#takeEvent(event))) {
      this.interrupt("events out of order");
    }
    return true;
  }

  #takeEvent({ id, data }: StreamEvent): boolean {
    const last = this.#lastEventId;
    if (id !== undefined && last !== undefined && id !== last + 1) {
      return false;
    }
    if (data !== undefined) {
      this.#texts.push(data);
    }
    this.#lastEventId = id ?? last;
    return true;
  }

  #takeEnd(end: ExchangeEnd): void {
    const text = this.#getText();
    switch (end.kind) {
      case "whole":
        this.#end(this.#describeWhole(text));
        return;
      case "unsent":
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

  #describeWhole(text: ItemText): ItemRunEnd {
    const status = this.#head?.status ?? 0;
    if (status !== OK) {
      return { kind: "status", status, text };
    }
    const isWhole = this.#held.length === 0 && this.#head?.isEventStream;
    return isWhole === true
      ? { kind: "completed", text }
      : { kind: "interrupted", reason: "the last event is cut off", text };
  }

  #getText(): ItemText {
    return { texts: this.#texts, lastEventId: this.#lastEventId };
  }

  #end(end: ItemRunEnd): void {
    if (!this.#isOver) {
      this.#isOver = true;
      this.#parts.onEnd(end);
    }
  }
}
