import {
  type AttemptEnd,
  assertNever,
  type FleetMember,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { ExchangeHead } from "../exchange/types.ts";
import type { PassAttempt } from "../passing/pass_attempt.ts";
import { startPass } from "../passing/start_pass.ts";
import { RequestTurn } from "../waiting/request_turn.ts";
import { admitCustomer } from "./admit_customer.ts";
import type { Attempt, AttemptResult } from "./attempt.ts";
import { AttemptTracker } from "./attempt_tracker.ts";
import { callErrors } from "./call_errors.ts";
import { CallerAnswer } from "./caller_answer.ts";
import { chooseTarget } from "./choose_target.ts";
import { describeLack } from "./describe_lack.ts";
import { RequestEnding } from "./request_ending.ts";
import { RequestOrigin } from "./request_origin.ts";
import type { RequestRunParts } from "./request_run_parts.ts";
import { startAttempt } from "./start_attempt.ts";
import type { AdmittedCall, CallReply } from "./types.ts";

/** Runs a caller's request: chooses upstreams, relays the response, retries. */
export class RequestRun {
  readonly #call: AdmittedCall;
  readonly #parts: RequestRunParts;
  readonly #answer: CallerAnswer;
  readonly #tracker: AttemptTracker;
  #isAdmitted: boolean;
  #attempt: Attempt | PassAttempt | undefined;
  readonly #origin: RequestOrigin;
  #timer: NodeJS.Timeout | undefined;
  readonly #ending: RequestEnding;
  readonly #turn = new RequestTurn();

  constructor(call: AdmittedCall, reply: CallReply, parts: RequestRunParts) {
    this.#call = call;
    this.#parts = parts;
    this.#isAdmitted = call.isAdmitted === true;
    this.#tracker = new AttemptTracker(call, parts.view);
    this.#origin = new RequestOrigin(call, parts.origins);
    this.#ending = new RequestEnding({
      ...parts,
      call,
      reply,
      tracker: this.#tracker,
      onDone: (outcome, tookMs) => {
        clearTimeout(this.#timer);
        this.#answer.drop();
        this.#turn.end();
        this.#origin.recordEnd();
        parts.onDone(outcome, tookMs);
      },
    });
    this.#answer = new CallerAnswer({
      call,
      reply,
      held: parts.held,
      onDrain: () => this.#attempt?.resume(),
      onStart: () => this.#tracker.recordFirstByte(),
    });
  }

  start(): void {
    const leftMs = this.#tracker.computeRemainingMs();
    const late = callErrors.timedOut("the time is up", false);
    if (leftMs === 0) {
      this.expire(late.message, late);
      return;
    }
    this.#timer = setTimeout(() => this.expire(late.message, late), leftMs);
    const { turns, passer } = this.#parts;
    this.#turn.request(this.#call, passer?.isNeeded ? undefined : turns, {
      admit: () => this.#admit(),
      onTurn: () =>
        void (this.#origin.isTakenUp ? this.#placeTakenUp() : this.#place()),
      onRefused: (error) => this.#ending.refuse(error),
    });
  }

  /** Version of the upstream whose answer arrives. */
  get version(): string {
    return this.#attempt?.upstream.version ?? "";
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
    if (!this.#ending.isEnded && isKnown) {
      this.#place();
    } else if (!this.#ending.isEnded) {
      this.#ending.refuse(callErrors.streamOver());
    }
  }

  #place(): void {
    const block = this.#tracker.findBlock();
    if (block !== undefined) {
      this.#ending.refuseBlocked(block, this.#answer.hasStarted);
      return;
    }
    const target = chooseTarget(this.#parts, this.#call, {
      tried: this.#tracker.failed,
      passedTo: this.#tracker.passedTo,
      leftMs: this.#tracker.computeRemainingMs(),
      origin: this.#origin.current,
    });
    switch (target.kind) {
      case "placed":
        this.#send(target.upstream, target.waitMs);
        return;
      case "peer":
        this.#passOn(target.peer);
        return;
      case "cut-off":
      case "full":
      case "none": {
        const { reason, freeInMs } = describeLack(target, this.#origin);
        this.#ending.abandon(reason, freeInMs, this.#answer.hasStarted);
        return;
      }
      default:
        assertNever(target);
    }
  }

  /** Takes a rate-limit token, once per request; refuses it if there is none. */
  #admit(): boolean {
    const error = this.#isAdmitted
      ? undefined
      : admitCustomer(this.#parts.view, this.#call.customer);
    if (error !== undefined) {
      this.#ending.refuse(error);
      return false;
    }
    this.#isAdmitted = true;
    this.#answer.restart();
    return true;
  }

  #send(upstream: UpstreamEntry, waitMs: number): void {
    if (!this.#admit()) {
      return;
    }
    const tracker = this.#tracker;
    const { lastEventId, eventCount } = this.#answer;
    this.#attempt = startAttempt(
      { call: this.#call, tracker, upstream, waitMs, lastEventId },
      this.#parts,
      {
        ...this.#buildEvents(),
        countEvents: () => this.#answer.eventCount - eventCount,
      },
    );
  }

  #passOn(peer: FleetMember): void {
    const { passer } = this.#parts;
    if (passer === undefined || !this.#admit()) {
      return;
    }
    const tracker = this.#tracker;
    const { lastEventId } = this.#answer;
    const origin = this.#origin.current;
    const pass = { call: this.#call, tracker, peer, lastEventId, origin };
    this.#attempt = startPass(pass, passer, this.#parts, {
      ...this.#buildEvents(),
      onRefused: (error) => {
        this.#attempt = undefined;
        this.#ending.refuseAsPeer(error, this.#answer.hasStarted);
      },
    });
  }

  #buildEvents() {
    return {
      onHead: (head: ExchangeHead): void => this.#answer.setHead(head),
      onChunk: (chunk: Buffer): boolean => this.#handleChunk(chunk),
      onEnd: (end: AttemptResult): void => this.#handleEnd(end),
    };
  }

  #handleChunk(chunk: Buffer): boolean {
    const result = this.#answer.addChunk(chunk);
    if (this.#answer.eventCount > 0 && this.#attempt !== undefined) {
      this.#origin.recordBegun(this.#attempt.upstream);
    }
    return result.kind === "unusable"
      ? this.#drop(result.reason)
      : result.kind === "room";
  }

  /** Gives up an answer that can't be passed on; returns false, for no more. */
  #drop(reason: string): boolean {
    this.#cancelAttempt();
    this.#handleFailure({ kind: "lost", reason });
    return false;
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
    const { status, isStream, hasStarted, isCloseDelimited } = this.#answer;
    if (isStream) {
      this.#finishStream(status);
      return;
    }
    const end = this.#tracker.findAnswerFault(status, hasStarted);
    if (end !== undefined) {
      this.#tracker.recordFailure();
      this.#handleFailure(end);
      return;
    }
    if (this.#answer.sendWhole()) {
      this.#ending.finish("answered", { status, isCloseDelimited });
    } else {
      this.#ending.breakOff(`an answer of ${status}`);
    }
  }

  #finishStream(status: number): void {
    if (this.#answer.finishStream()) {
      const { eventCount: events, isCloseDelimited } = this.#answer;
      this.#ending.finish("answered", { status, events, isCloseDelimited });
      return;
    }
    this.#tracker.recordFailure();
    this.#handleFailure({ kind: "lost", reason: "the last event is cut off" });
  }

  #handleFailure(end: AttemptEnd): void {
    const { hasStarted, eventCount } = this.#answer;
    const tracker = this.#tracker;
    const next = tracker.decideNextStep(end, hasStarted);
    const peer = tracker.hasNoPath(end, next)
      ? this.#parts.passer?.choose(tracker.passedTo)
      : undefined;
    if (peer !== undefined) {
      this.#passOn(peer);
      return;
    }
    switch (next.kind) {
      case "retry":
        this.#ending.logRetry(end, eventCount);
        this.#place();
        return;
      case "break-off":
      case "refuse":
      case "fail":
        this.#ending.abandon(next.reason, 0, hasStarted);
        return;
      case "done":
        return;
      default:
        assertNever(next);
    }
  }

  /** Ends the request; `notRun` is the error of one that can't have run. */
  expire(reason: string, notRun = callErrors.notReady(reason)): void {
    if (this.#ending.isEnded) {
      return;
    }
    this.#cancelAttempt();
    const hasRun = this.#tracker.runs > 0;
    const error = hasRun ? callErrors.timedOut(reason, true) : notRun;
    this.#ending.fail(reason, error, this.#answer.hasStarted);
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
