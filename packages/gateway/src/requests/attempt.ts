import {
  assertNever,
  type EventLog,
  type RequestTokens,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { ConnectionPool } from "@gooseberryline/daemon";
import type { PendingAttempt } from "../crashes/crash_tracker.ts";
import { describeBlock } from "../crashes/describe_block.ts";
import type { RequestKey } from "../crashes/request_key.ts";
import type { CallDialect, ResponseHead } from "../dialect/types.ts";
import type { HeldBytes } from "../exchange/held_bytes.ts";
import type {
  ExchangeEnd,
  ExchangeEvents,
  ExchangeHead,
  ExchangeOptions,
} from "../exchange/types.ts";
import { UpstreamExchange } from "../exchange/upstream_exchange.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import type { Lane } from "../fleet/load_tracker.ts";
import type { AnswerWatch } from "../rollouts/answer_watch.ts";
import { toWatchedEnd } from "../rollouts/to_watched_end.ts";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { AnswerTimer } from "./answer_timer.ts";
import { checkBrokenAttempt } from "./check_broken_attempt.ts";
import { isCutOffStream } from "./is_cut_off_stream.ts";

/** Status of an upstream that is not the one that was meant. */
const MISDIRECTED = 421;

/** Errors come sooner than answers, so their time says nothing. */
const REDIRECTED = 300;

const CUT_OFF = {
  kind: "lost",
  reason: "the stream ended before its first event",
  isSilent: false,
} as const;

export type AttemptParts = {
  readonly view: FleetView;
  readonly pool: ConnectionPool;
  readonly dialect: CallDialect;
  readonly log: EventLog;
  /** Counts what is held of answers. */
  readonly held: HeldBytes;
};

/** What an attempt sends, and where. */
export type AttemptWork = {
  readonly upstream: UpstreamEntry;
  readonly lane: Lane;
  /** Undefined for an item of a job. */
  readonly key: RequestKey | undefined;
  /** Ids of the prompt parts that other requests may share. */
  readonly promptParts: readonly string[];
  readonly customer: string | undefined;
  /** Name of the route; undefined for an item of a job. */
  readonly route?: string;
  /** Undefined if not told. */
  readonly tokens?: RequestTokens | undefined;
};

/** How an attempt ended; `isSuspect` as in the core's `AttemptEnd`. */
export type AttemptResult = ExchangeEnd & { readonly isSuspect?: boolean };

export type AttemptEvents = Omit<ExchangeEvents, "onEnd"> & {
  readonly onEnd: (end: AttemptResult) => void;
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
  readonly #pending: PendingAttempt;
  readonly #watch: AnswerWatch | undefined;
  readonly #timer: AnswerTimer;
  #head: ExchangeHead | undefined;
  #hasBegun = false;
  #isEnded = false;
  #isCancelled = false;

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
    const listParts = () => (this.#hasBegun ? [] : work.promptParts);
    this.#pending = {
      get parts() {
        return listParts();
      },
      customer: work.customer ?? "",
      hasKey: (request) => work.key?.matches(request) === true,
      stop: (block) => this.#stop(describeBlock(block)),
    };
    if (work.key !== undefined) {
      parts.view.crashes.addPending(this.#pending);
    }
    parts.view.recordSend(upstream, lane);
    this.#watch = parts.view.rollouts.startWatch(upstream, work.route);
    this.#timer = new AnswerTimer(parts.view, work, options.body.length);
    const { load } = parts.view;
    const hasActivitySince = (sinceMs: number) =>
      load.hasActivitySince(upstream.id, sinceMs);
    const recordActivity = () => {
      load.recordActivity(upstream.id, parts.view.readNowMs());
      parts.view.reach.recordAnswer();
    };
    this.#exchange = new UpstreamExchange(
      { ...options, hasActivitySince },
      {
        pool: parts.pool,
        dialect: parts.dialect,
        onConnect: () => parts.view.reach.recordConnected(),
        onAnswer: (status, head) => this.#recordAnswer(status, head),
        onHead: (head) => {
          this.#head = head;
          this.#watch?.recordHead(head.status);
          recordActivity();
          events.onHead(head);
        },
        onChunk: (chunk) => {
          this.#watch?.recordFirstByte();
          recordActivity();
          const hasRoom = events.onChunk(chunk);
          if (!this.#hasBegun && events.countEvents() > 0) {
            this.#recordSoundStart();
          }
          this.#timer.recordEvents(events.countEvents(), chunk.length, hasRoom);
          return hasRoom;
        },
        onEnd: (end) => this.#handleEnd(end),
      },
    );
  }

  /**
   * Cancels the attempt without calling `onEnd`; the upstream stops its work.
   */
  cancel(): void {
    this.#isCancelled = true;
    this.#exchange.cancel();
    this.#watch?.finish("abandoned");
    this.#release();
  }

  #stop(reason: string): void {
    this.cancel();
    const isSuspect = true;
    this.#events.onEnd({ kind: "lost", reason, isSilent: false, isSuspect });
  }

  resume(): void {
    this.#exchange.resume();
  }

  #handleEnd(exchangeEnd: ExchangeEnd): void {
    const end =
      !this.#hasBegun && isCutOffStream(exchangeEnd, this.#head)
        ? CUT_OFF
        : exchangeEnd;
    this.#release();
    this.#recordEnd(end);
    if (end.kind !== "lost" || end.isSilent) {
      this.#events.onEnd(end);
      return;
    }
    const about = { step: "check-upstream", key: this.upstream.id };
    const checked = runSlowStep(this.#parts.log, about, () =>
      this.#checkBreak(end.reason),
    );
    if (this.#hasBegun && !this.#hasCrashedBefore()) {
      this.#events.onEnd(end);
      return;
    }
    void checked.then((isSuspect) => {
      if (!this.#isCancelled) {
        this.#events.onEnd({ ...end, isSuspect: isSuspect === true });
      }
    });
  }

  #checkBreak(reason: string): Promise<boolean> {
    const hasBegun = this.#hasBegun;
    return checkBrokenAttempt(
      {
        ...this.#work,
        requestId: this.#requestId,
        hasHead: this.#head !== undefined && !hasBegun,
        hasBegun,
        ranMs: this.#parts.view.readNowMs() - this.#startedMs,
        reason,
      },
      this.#parts,
    );
  }

  /** Returns whether an upstream crashed under the request before. */
  #hasCrashedBefore(): boolean {
    const { crashes } = this.#parts.view;
    const { key } = this.#work;
    return key !== undefined && crashes.countCrashesUnder(key) > 0;
  }

  /** Records what an upstream says of itself, unless it is another one. */
  #recordAnswer(status: number, head: ResponseHead): void {
    this.#parts.view.reach.recordAnswer();
    if (status === MISDIRECTED) {
      return;
    }
    const { view } = this.#parts;
    const { id } = this.upstream;
    view.limits.recordAnswer(id, head.limitPerSecond, this.#startedMs);
    if (head.isLeaving) {
      view.directory.markLeaving([this.upstream]);
    }
  }

  /** The answer has begun, so the prompt does not crash upstreams. */
  #recordSoundStart(): void {
    const { crashes } = this.#parts.view;
    this.#hasBegun = true;
    crashes.recordSoundStart(this.#work.promptParts);
  }

  /** One that ends with its connection may have been cut off by a crash. */
  #recordWholeAnswer(): void {
    const { key } = this.#work;
    if (key !== undefined && this.#head?.isCloseDelimited === false) {
      this.#parts.view.crashes.recordWholeAnswer(key);
    }
  }

  #release(): void {
    if (!this.#isEnded) {
      this.#isEnded = true;
      this.#parts.view.crashes.dropPending(this.#pending);
      this.#timer.recordRelease();
      this.#parts.view.load.recordEnd(this.upstream.id, this.#work.lane);
    }
  }

  #recordEnd(end: ExchangeEnd): void {
    const { load, reach } = this.#parts.view;
    const nowMs = this.#parts.view.readNowMs();
    this.#watch?.finish(toWatchedEnd(end));
    switch (end.kind) {
      case "whole":
        if (this.#head?.isEventStream !== true) {
          this.#recordSoundStart();
        }
        this.#recordWholeAnswer();
        load.recordSuccess(this.upstream.id);
        if (this.#head !== undefined && this.#head.status < REDIRECTED) {
          this.#timer.recordEnd();
        }
        if (this.#work.lane === "online") {
          const serviceMs = this.#timer.computeUsualMs();
          load.recordServiceTime(this.upstream.service, serviceMs);
        }
        return;
      case "unsent":
        if (end.isUnbuilt !== true) {
          reach.recordUnanswered(this.upstream.id, false);
          load.recordFailure(this.upstream.id, nowMs);
        }
        return;
      case "lost":
        reach.recordUnanswered(this.upstream.id, true);
        load.recordFailure(this.upstream.id, nowMs);
        return;
      case "unexecuted":
        load.recordFailure(this.upstream.id, nowMs);
        return;
      default:
        assertNever(end);
    }
  }
}
