import {
  assertNever,
  type EventLog,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { ConnectionPool } from "@gooseberryline/daemon";
import type { CallDialect } from "../dialect/types.ts";
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

/**
 * One attempt of a request or a batch item at an upstream, counted towards its
 * load.
 */
export class Attempt {
  readonly upstream: UpstreamEntry;
  readonly #lane: Lane;
  readonly #parts: AttemptParts;
  readonly #events: ExchangeEvents;
  readonly #startedMs: number;
  readonly #exchange: UpstreamExchange;
  #isEnded = false;

  constructor(
    upstream: UpstreamEntry,
    lane: Lane,
    options: ExchangeOptions,
    parts: AttemptParts,
    events: ExchangeEvents,
  ) {
    this.upstream = upstream;
    this.#lane = lane;
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
      this.#parts.view.load.recordEnd(this.upstream.id, this.#lane);
    }
  }

  #recordEnd(end: ExchangeEnd): void {
    const { load } = this.#parts.view;
    const nowMs = this.#parts.view.readNowMs();
    switch (end.kind) {
      case "whole":
        load.recordSuccess(this.upstream.id);
        if (this.#lane === "online") {
          const serviceMs = nowMs - this.#startedMs;
          load.recordServiceTime(this.upstream.service, serviceMs);
        }
        return;
      case "unsent":
      case "unexecuted":
      case "lost":
        load.recordFailure(this.upstream.id, nowMs);
        return;
      default:
        assertNever(end);
    }
  }
}
