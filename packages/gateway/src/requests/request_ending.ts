import type { AttemptEnd, CrashBlock } from "@gooseberryline/core";
import { describeBlock } from "../crashes/describe_block.ts";
import type { AttemptParts } from "./attempt.ts";
import type { AttemptTracker } from "./attempt_tracker.ts";
import { callErrors } from "./call_errors.ts";
import type {
  AdmittedCall,
  CallError,
  CallReply,
  RequestFields,
} from "./types.ts";

type RequestEndingParts = AttemptParts & {
  readonly call: AdmittedCall;
  readonly reply: CallReply;
  readonly tracker: AttemptTracker;
  readonly onDone: (outcome: string, tookMs: number) => void;
};

/** Ends a request once: tells the caller, the log and the metrics. */
export class RequestEnding {
  readonly #parts: RequestEndingParts;
  #isEnded = false;

  constructor(parts: RequestEndingParts) {
    this.#parts = parts;
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** Fails the request; a response that has started can only be cut off. */
  fail(reason: string, error: CallError, hasStarted: boolean): void {
    if (hasStarted) {
      this.breakOff(reason);
    } else {
      this.refuse(error);
    }
  }

  /** Ends a request that can't be retried. */
  abandon(reason: string, availableInMs: number, hasStarted: boolean): void {
    const { tracker } = this.#parts;
    const block = tracker.findBlock();
    if (block !== undefined) {
      this.refuseBlocked(block, hasStarted);
      return;
    }
    const error =
      tracker.runs > 0
        ? callErrors.upstreamFailed(reason)
        : callErrors.noCapacity(reason, availableInMs);
    this.fail(reason, error, hasStarted);
  }

  /** Ends a request with the error of the peer that it was passed on to. */
  refuseAsPeer(error: CallError, hasStarted: boolean): void {
    const run = this.#parts.tracker.runs > 0 ? "may have run" : error.run;
    this.fail(error.message, { ...error, run }, hasStarted);
  }

  /** Ends a request that a block holds for. */
  refuseBlocked(block: CrashBlock, hasStarted: boolean): void {
    const text = describeBlock(block);
    const mayHaveRun = this.#parts.tracker.runs > 0;
    const error = callErrors.blocked(block, text, mayHaveRun);
    this.fail(text, error, hasStarted);
  }

  breakOff(reason: string): void {
    this.#parts.reply.closeConnection();
    this.finish("broken-off", { reason });
  }

  refuse(error: CallError): void {
    this.#parts.reply.sendError(error);
    this.finish("refused", { status: error.status, reason: error.message });
  }

  finish(outcome: string, fields: RequestFields): void {
    if (this.#isEnded) {
      return;
    }
    this.#isEnded = true;
    const { log, view, call, tracker, onDone } = this.#parts;
    const tookMs = Math.round(view.readNowMs() - call.receivedMs);
    log.info("request-ended", {
      ...tracker.describe(),
      outcome,
      ...fields,
      tookMs,
    });
    onDone(outcome, tookMs);
  }

  /** Logs a retry after `events` events were relayed to the caller. */
  logRetry(end: AttemptEnd, events: number): void {
    const { log, tracker } = this.#parts;
    log.info("request-retry", {
      ...tracker.describe(),
      end: end.kind,
      reason: "reason" in end ? end.reason : `status ${end.status}`,
      events,
    });
  }
}
