import {
  assertNever,
  type EventLog,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { ConnectionPool } from "@gooseberryline/daemon";
import type { CallDialect } from "../dialect/types.ts";
import { checkPort } from "../exchange/check_port.ts";
import type {
  ExchangeEnd,
  ExchangeEvents,
  ExchangeOptions,
} from "../exchange/types.ts";
import { UpstreamExchange } from "../exchange/upstream_exchange.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import type { Lane } from "../fleet/load_tracker.ts";

export type AttemptParts = {
  readonly view: FleetView;
  readonly pool: ConnectionPool;
  readonly dialect: CallDialect;
  readonly log: EventLog;
};

/** What an attempt sends, and where. */
export type AttemptWork = {
  readonly upstream: UpstreamEntry;
  readonly lane: Lane;
  /** Ids of the prompt parts that other requests may share. */
  readonly promptParts: readonly string[];
  readonly customer: string | undefined;
};

export type AttemptEvents = ExchangeEvents & {
  /** Returns how many complete events of the stream this attempt received. */
  readonly countEvents: () => number;
};

/**
 * One attempt of a request or a batch item at an upstream, counted towards its
 * load.
 */
export class Attempt {
  readonly upstream: UpstreamEntry;
  readonly #work: AttemptWork;
  readonly #requestId: string | undefined;
  readonly #parts: AttemptParts;
  readonly #events: AttemptEvents;
  readonly #startedMs: number;
  readonly #exchange: UpstreamExchange;
  #hasHead = false;
  #isEnded = false;

  constructor(
    work: AttemptWork,
    options: ExchangeOptions,
    parts: AttemptParts,
    events: AttemptEvents,
  ) {
    const { upstream, lane } = work;
    this.upstream = upstream;
    this.#work = work;
    this.#requestId = options.requestId;
    this.#parts = parts;
    this.#events = events;
    this.#startedMs = parts.view.readNowMs();
    parts.view.recordSend(upstream, lane);
    const { load } = parts.view;
    const hasActivitySince = (sinceMs: number) =>
      load.hasActivitySince(upstream.id, sinceMs);
    const recordActivity = () =>
      load.recordActivity(upstream.id, parts.view.readNowMs());
    this.#exchange = new UpstreamExchange(
      { ...options, hasActivitySince },
      {
        pool: parts.pool,
        dialect: parts.dialect,
        onHead: (head) => {
          this.#hasHead = true;
          recordActivity();
          events.onHead(head);
        },
        onChunk: (chunk) => {
          recordActivity();
          return events.onChunk(chunk);
        },
        onEnd: (end) => this.#handleEnd(end),
      },
    );
  }

  /**
   * Cancels the attempt without calling `onEnd`; the upstream stops its work.
   */
  cancel(): void {
    this.#exchange.cancel();
    this.#release();
  }

  resume(): void {
    this.#exchange.resume();
  }

  #handleEnd(end: ExchangeEnd): void {
    this.#release();
    this.#recordEnd(end);
    this.#events.onEnd(end);
  }

  #release(): void {
    if (!this.#isEnded) {
      this.#isEnded = true;
      this.#parts.view.load.recordEnd(this.upstream.id, this.#work.lane);
    }
  }

  #recordEnd(end: ExchangeEnd): void {
    const { load } = this.#parts.view;
    const nowMs = this.#parts.view.readNowMs();
    switch (end.kind) {
      case "whole":
        load.recordSuccess(this.upstream.id);
        if (this.#work.lane === "online") {
          const serviceMs = nowMs - this.#startedMs;
          load.recordServiceTime(this.upstream.service, serviceMs);
        }
        return;
      case "lost":
        load.recordFailure(this.upstream.id, nowMs);
        if (!end.isSilent) {
          void this.#logBreak(end.reason);
        }
        return;
      case "unsent":
      case "unexecuted":
        load.recordFailure(this.upstream.id, nowMs);
        return;
      default:
        assertNever(end);
    }
  }

  /** Logs what ran on a connection that broke, and if the upstream is down. */
  async #logBreak(reason: string): Promise<void> {
    const { promptParts } = this.#work;
    const events = this.#events.countEvents();
    const ranMs = this.#parts.view.readNowMs() - this.#startedMs;
    const port = await checkPort(this.upstream.address);
    this.#parts.log.info("upstream-broke-off", {
      requestId: this.#requestId,
      upstream: this.upstream.id,
      promptParts: promptParts.join(" "),
      hasHead: this.#hasHead,
      events,
      ranMs: Math.round(ranMs),
      port,
      reason,
    });
  }
}
