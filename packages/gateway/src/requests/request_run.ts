import {
  type AttemptEnd,
  assertNever,
  type NextStep,
  type UpstreamEntry,
} from "@gooseberryline/core";
import { AnswerBuffer } from "../exchange/answer_buffer.ts";
import type { ExchangeHead } from "../exchange/types.ts";
import type { StreamOrigins } from "../streams/stream_origins.ts";
import { admitCustomer } from "./admit_customer.ts";
import type { Attempt, AttemptParts, AttemptResult } from "./attempt.ts";
import { AttemptTracker } from "./attempt_tracker.ts";
import { callErrors } from "./call_errors.ts";
import { chooseUpstream } from "./choose_upstream.ts";
import { REQUESTS } from "./constants.ts";
import { isStreamAnswer } from "./is_stream_answer.ts";
import { RequestEnding } from "./request_ending.ts";
import { RequestOrigin } from "./request_origin.ts";
import { startAttempt } from "./start_attempt.ts";
import { StreamRelay } from "./stream_relay.ts";
import type { AdmittedCall, CallReply } from "./types.ts";

type RequestRunParts = AttemptParts & {
  readonly origins: Pick<StreamOrigins, "find" | "recordBegun">;
  readonly onDone: (outcome: string, tookMs: number) => void;
};

const SERVER_ERROR = 500;

/** Runs a caller's request: chooses upstreams, relays the response, retries. */
export class RequestRun {
  readonly #call: AdmittedCall;
  readonly #reply: CallReply;
  readonly #parts: RequestRunParts;
  readonly #relay: StreamRelay;
  readonly #tracker: AttemptTracker;
  #isAdmitted = false;
  #attempt: Attempt | undefined;
  #head: ExchangeHead | undefined;
  readonly #body: AnswerBuffer;
  #hasStarted = false;
  readonly #origin: RequestOrigin;
  #timer: NodeJS.Timeout | undefined;
  readonly #ending: RequestEnding;

  constructor(call: AdmittedCall, reply: CallReply, parts: RequestRunParts) {
    this.#call = call;
    this.#reply = reply;
    this.#parts = parts;
    this.#body = new AnswerBuffer(parts.held);
    this.#tracker = new AttemptTracker(call, parts.view);
    this.#origin = new RequestOrigin(call, parts.origins);
    this.#ending = new RequestEnding({
      ...parts,
      call,
      reply,
      tracker: this.#tracker,
      onDone: (outcome, tookMs) => {
        clearTimeout(this.#timer);
        this.#body.drop();
        this.#origin.recordEnd();
        parts.onDone(outcome, tookMs);
      },
    });
    this.#relay = new StreamRelay(reply, call.head.lastEventId, () =>
      this.#attempt?.resume(),
    );
  }

  start(): void {
    const leftMs = this.#tracker.computeRemainingMs();
    this.#timer = setTimeout(() => this.expire("the time is up"), leftMs);
    void (this.#origin.isTakenUp ? this.#placeTakenUp() : this.#place());
  }

  /** Cancels the request after the caller has disconnected. */
  cancel(): void {
    if (!this.#ending.isEnded) {
      this.#cancelAttempt();
      this.#ending.finish("caller-left", {});
    }
  }

  /** Goes on at an upstream of the version that began the stream, or nowhere. */
  async #placeTakenUp(): Promise<void> {
    const isKnown = await this.#origin.find();
    if (this.#ending.isEnded) {
      return;
    }
    if (!isKnown) {
      this.#ending.refuse(callErrors.streamOver());
      return;
    }
    this.#place();
  }

  #place(): void {
    const block = this.#tracker.findBlock();
    if (block !== undefined) {
      this.#ending.refuseBlocked(block, this.#hasStarted);
      return;
    }
    const placement = chooseUpstream(this.#parts.view, this.#call, {
      tried: this.#tracker.failed,
      leftMs: this.#tracker.computeRemainingMs(),
      origin: this.#origin.current,
    });
    switch (placement.kind) {
      case "placed":
        this.#admit(placement.upstream, placement.waitMs);
        return;
      case "full":
        this.#abandon("every upstream is full", placement.freeInMs);
        return;
      case "none":
        this.#abandon(
          this.#origin.describeLack(),
          REQUESTS.NO_UPSTREAM_RETRY_MS,
        );
        return;
      default:
        assertNever(placement);
    }
  }

  /** Takes a rate-limit token, once per request, then sends the request. */
  #admit(upstream: UpstreamEntry, waitMs: number): void {
    const error = this.#isAdmitted
      ? undefined
      : admitCustomer(this.#parts.view, this.#call.customer);
    if (error !== undefined) {
      this.#ending.refuse(error);
      return;
    }
    this.#isAdmitted = true;
    this.#send(upstream, waitMs);
  }

  #send(upstream: UpstreamEntry, waitMs: number): void {
    this.#head = undefined;
    this.#body.drop();
    this.#relay.restart();
    const call = this.#call;
    const tracker = this.#tracker;
    const { lastEventId, eventCount } = this.#relay;
    this.#attempt = startAttempt(
      { call, tracker, upstream, waitMs, lastEventId },
      this.#parts,
      {
        onHead: (response) => {
          this.#head = response;
        },
        onChunk: (chunk) => this.#handleChunk(chunk),
        onEnd: (end) => this.#handleEnd(end),
        countEvents: () => this.#relay.eventCount - eventCount,
      },
    );
  }

  #handleChunk(chunk: Buffer): boolean {
    if (!isStreamAnswer(this.#call.route, this.#head)) {
      return this.#body.append(chunk) || this.#drop("the answer is too long");
    }
    this.#startReply();
    const result = this.#relay.relayChunk(chunk);
    if (this.#relay.eventCount > 0 && this.#attempt !== undefined) {
      this.#origin.recordBegun(this.#attempt.upstream);
    }
    return result === "room" || result === "full"
      ? result === "room"
      : this.#drop(REQUESTS.DROP_REASONS[result]);
  }

  /** Gives up an answer that can't be passed on; returns false, for no more. */
  #drop(reason: string): boolean {
    this.#cancelAttempt();
    this.#handleFailure({ kind: "lost", reason });
    return false;
  }

  #startReply(): void {
    if (!this.#hasStarted && this.#head !== undefined) {
      this.#hasStarted = true;
      this.#tracker.recordFirstByte();
      this.#reply.startStream(this.#head);
    }
  }

  #handleEnd(end: AttemptResult): void {
    this.#attempt = undefined;
    if (end.kind === "whole" || end.kind === "lost") {
      this.#tracker.recordRun();
    }
    if (end.kind === "whole") {
      this.#handleComplete();
      return;
    }
    this.#tracker.recordFailure();
    this.#handleFailure(end);
  }

  #handleComplete(): void {
    const status = this.#head?.status ?? 0;
    if (isStreamAnswer(this.#call.route, this.#head)) {
      if (this.#relay.isAtEventBoundary()) {
        // A stream resumed after its last event has a head but no events.
        this.#startReply();
        this.#reply.finishStream();
        const events = this.#relay.eventCount;
        this.#ending.finish("answered", { status, events });
      } else {
        this.#tracker.recordFailure();
        this.#handleFailure({
          kind: "lost",
          reason: "the last event is cut off",
        });
      }
      return;
    }
    const end = { kind: "lost", reason: `an answer of ${status}` } as const;
    // Nothing but events can follow events. A server error may be specific to
    // this upstream. Another one may do better in both cases.
    const isRetryable = this.#hasStarted || status >= SERVER_ERROR;
    if (isRetryable && this.#decide(end).kind === "retry") {
      this.#tracker.recordFailure();
      this.#handleFailure(end);
      return;
    }
    this.#sendResponse(status);
  }

  #sendResponse(status: number): void {
    if (this.#hasStarted || this.#head === undefined) {
      this.#ending.breakOff(`an answer of ${status}`);
      return;
    }
    this.#reply.sendResponse(this.#head, this.#body.read());
    this.#ending.finish("answered", { status });
  }

  #decide(end: AttemptEnd): NextStep {
    return this.#tracker.decideNextStep(end, this.#hasStarted);
  }

  #handleFailure(end: AttemptEnd): void {
    const next = this.#decide(end);
    switch (next.kind) {
      case "retry":
        this.#ending.logRetry(end, this.#relay.eventCount);
        this.#place();
        return;
      case "break-off":
      case "refuse":
      case "fail":
        this.#abandon(next.reason, 0);
        return;
      case "done":
        return;
      default:
        assertNever(next);
    }
  }

  /** Ends a request that can't be retried. */
  #abandon(reason: string, availableInMs: number): void {
    const block = this.#tracker.findBlock();
    if (block !== undefined) {
      this.#ending.refuseBlocked(block, this.#hasStarted);
      return;
    }
    const error =
      this.#tracker.runs > 0
        ? callErrors.upstreamFailed(reason)
        : callErrors.noCapacity(reason, availableInMs);
    this.#ending.fail(reason, error, this.#hasStarted);
  }

  /** Ends the request with what is known of it; `reason` says why now. */
  expire(reason: string): void {
    if (this.#ending.isEnded) {
      return;
    }
    this.#cancelAttempt();
    const error = callErrors.timedOut(reason, this.#tracker.runs > 0);
    this.#ending.fail(reason, error, this.#hasStarted);
  }

  /** Cancels the current attempt, which may have run the request. */
  #cancelAttempt(): void {
    if (this.#attempt !== undefined) {
      this.#attempt.cancel();
      this.#attempt = undefined;
      this.#tracker.recordFailure();
      this.#tracker.recordRun();
    }
  }
}
