import {
  type AttemptEnd,
  assertNever,
  CALL_SHAPES,
  type NextStep,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { ExchangeEnd, ExchangeHead } from "../exchange/types.ts";
import { admitCustomer } from "./admit_customer.ts";
import { Attempt, type AttemptParts } from "./attempt.ts";
import { AttemptTracker } from "./attempt_tracker.ts";
import { buildExchangeOptions } from "./build_exchange_options.ts";
import { chooseUpstream } from "./choose_upstream.ts";
import { REQUESTS } from "./constants.ts";
import { faults } from "./faults.ts";
import { StreamRelay } from "./stream_relay.ts";
import type {
  AdmittedCall,
  CallError,
  CallReply,
  RequestFields,
} from "./types.ts";

type RequestRunParts = AttemptParts & {
  readonly onDone: (outcome: string, tookMs: number) => void;
};

const SERVER_ERROR = 500;

/** One caller's request: places it, relays the answer, repeats if it may. */
export class RequestRun {
  readonly #call: AdmittedCall;
  readonly #reply: CallReply;
  readonly #parts: RequestRunParts;
  readonly #relay: StreamRelay;
  readonly #attempts: AttemptTracker;
  #isAdmitted = false;
  #attempt: Attempt | undefined;
  #head: ExchangeHead | undefined;
  #body: Buffer[] = [];
  #hasBegun = false;
  #timer: NodeJS.Timeout | undefined;
  #isEnded = false;

  constructor(call: AdmittedCall, reply: CallReply, parts: RequestRunParts) {
    this.#call = call;
    this.#reply = reply;
    this.#parts = parts;
    this.#attempts = new AttemptTracker(call, parts.view);
    const { lastEventId } = call.head;
    const resume = (): void => this.#attempt?.resume();
    this.#relay = new StreamRelay(reply, lastEventId, resume);
  }

  start(): void {
    this.#timer = setTimeout(
      () => this.#expire(),
      this.#attempts.computeRemainingMs(),
    );
    this.#place();
  }

  /** The caller has left: the upstream stops at once. */
  cancel(): void {
    if (!this.#isEnded) {
      this.#cancelAttempt();
      this.#finish("caller-left", {});
    }
  }

  #place(): void {
    const { view } = this.#parts;
    const leftMs = this.#attempts.computeRemainingMs();
    const placement = chooseUpstream(
      view,
      this.#call,
      this.#attempts.failed,
      leftMs,
    );
    switch (placement.kind) {
      case "placed":
        this.#admit(placement.upstream, placement.waitMs);
        return;
      case "full":
        this.#abandon("every upstream is full", placement.freeInMs);
        return;
      case "none":
        this.#abandon("no upstream is in use", REQUESTS.NO_UPSTREAM_RETRY_MS);
        return;
      default:
        assertNever(placement);
    }
  }

  /** Takes a token of the customer's rate, once for the request. */
  #admit(upstream: UpstreamEntry, waitMs: number): void {
    const { view } = this.#parts;
    const fault = this.#isAdmitted
      ? undefined
      : admitCustomer(view, this.#call.customer);
    if (fault !== undefined) {
      this.#refuse(fault);
      return;
    }
    this.#isAdmitted = true;
    this.#send(upstream, waitMs);
  }

  #send(upstream: UpstreamEntry, waitMs: number): void {
    this.#attempts.recordOffer(upstream.id, waitMs);
    this.#head = undefined;
    this.#body = [];
    this.#relay.restart();
    const order = buildExchangeOptions(this.#call, this.#parts.dialect, {
      upstream,
      waitMs,
      leftMs: this.#attempts.computeRemainingMs(),
      runs: this.#attempts.runs,
      lastEventId: this.#relay.lastEventId,
    });
    this.#attempt = new Attempt(upstream, "online", order, this.#parts, {
      onHead: (head) => {
        this.#head = head;
      },
      onChunk: (chunk) => this.#handleChunk(chunk),
      onEnd: (end) => this.#handleEnd(end),
    });
  }

  #handleChunk(chunk: Buffer): boolean {
    if (!this.#isStream()) {
      this.#body.push(chunk);
      return true;
    }
    this.#startReply();
    const step = this.#relay.relayChunk(chunk);
    if (step === "out-of-order") {
      this.#cancelAttempt();
      this.#handleFailure({ kind: "lost", reason: "events out of order" });
      return false;
    }
    return step === "room";
  }

  #startReply(): void {
    if (!this.#hasBegun && this.#head !== undefined) {
      this.#hasBegun = true;
      this.#attempts.recordFirstByte();
      this.#reply.beginStream(this.#head);
    }
  }

  #isStream(): boolean {
    return (
      this.#call.route.shape === CALL_SHAPES.stream &&
      this.#head?.isEventStream === true
    );
  }

  #handleEnd(end: ExchangeEnd): void {
    this.#attempt = undefined;
    if (end.kind === "whole" || end.kind === "lost") {
      this.#attempts.recordRun();
    }
    if (end.kind === "whole") {
      this.#handleComplete();
      return;
    }
    this.#attempts.recordFailure();
    this.#handleFailure(end);
  }

  #handleComplete(): void {
    const status = this.#head?.status ?? 0;
    if (this.#isStream()) {
      if (this.#relay.isAtEventBoundary()) {
        // A stream asked for after its last event has a head and no events.
        this.#startReply();
        this.#reply.endStream();
        this.#finish("answered", { status, events: this.#relay.eventCount });
      } else {
        this.#handleFailure({
          kind: "lost",
          reason: "the last event is cut off",
        });
      }
      return;
    }
    const end = { kind: "lost", reason: `an answer of ${status}` } as const;
    // A failure of an upstream may be its own: another one may do better.
    if (status >= SERVER_ERROR && this.#decide(end).kind === "retry") {
      this.#attempts.recordFailure();
      this.#handleFailure(end);
      return;
    }
    this.#sendResponse(status);
  }

  #sendResponse(status: number): void {
    if (this.#hasBegun || this.#head === undefined) {
      this.#reply.breakOff();
      this.#finish("broken-off", { reason: `an answer of ${status}` });
      return;
    }
    this.#reply.sendWhole(this.#head, Buffer.concat(this.#body));
    this.#finish("answered", { status });
  }

  #decide(end: AttemptEnd): NextStep {
    return this.#attempts.decideNextStep(end, this.#hasBegun);
  }

  #handleFailure(end: AttemptEnd): void {
    const next = this.#decide(end);
    switch (next.kind) {
      case "retry":
        this.#logRetry(end);
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

  /** Ends a request that nothing more can be done for. */
  #abandon(reason: string, freeInMs: number): void {
    const mayHaveRun = this.#attempts.runs > 0;
    this.#fail(
      reason,
      mayHaveRun
        ? faults.upstreamFailed(reason)
        : faults.noCapacity(reason, freeInMs),
    );
  }

  #expire(): void {
    this.#cancelAttempt();
    const reason = "the time is up";
    this.#fail(reason, faults.timedOut(reason, this.#attempts.runs > 0));
  }

  /** An answer that has begun can't become an error any more. */
  #fail(reason: string, fault: CallError): void {
    if (this.#hasBegun) {
      this.#reply.breakOff();
      this.#finish("broken-off", { reason });
    } else {
      this.#refuse(fault);
    }
  }

  #refuse(fault: CallError): void {
    this.#reply.sendFault(fault);
    this.#finish("refused", { status: fault.status, reason: fault.message });
  }

  /** Ends an attempt that may have run. */
  #cancelAttempt(): void {
    if (this.#attempt !== undefined) {
      this.#attempt.cancel();
      this.#attempt = undefined;
      this.#attempts.recordFailure();
      this.#attempts.recordRun();
    }
  }

  #logRetry(end: AttemptEnd): void {
    this.#parts.log.info("request-retry", {
      ...this.#attempts.describe(),
      end: end.kind,
      reason: "reason" in end ? end.reason : `status ${end.status}`,
      events: this.#relay.eventCount,
    });
  }

  #finish(outcome: string, fields: RequestFields): void {
    if (this.#isEnded) {
      return;
    }
    this.#isEnded = true;
    clearTimeout(this.#timer);
    const { log, view, onDone } = this.#parts;
    const tookMs = Math.round(view.readNowMs() - this.#call.receivedMs);
    log.info("request-ended", {
      ...this.#attempts.describe(),
      outcome,
      ...fields,
      tookMs,
    });
    onDone(outcome, tookMs);
  }
}
