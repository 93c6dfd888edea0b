import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import {
  AnswerHeadWatch,
  type ConnectionPool,
  readBodyEnd,
} from "@gooseberryline/daemon";
import { describeError } from "../describe_error.ts";
import type { CallDialect } from "../dialect/types.ts";
import { connectionAnswers } from "./connection_answers.ts";
import { EXCHANGE } from "./constants.ts";
import { describeHead } from "./describe_head.ts";
import { drainRefusal } from "./drain_refusal.ts";
import { findCloseEnd } from "./find_close_end.ts";
import { findForeignReason } from "./find_foreign_reason.ts";
import { isSuccess } from "./is_success.ts";
import { openRequest } from "./open_request.ts";
import { StallTimer } from "./stall_timer.ts";
import type {
  CloseWatch,
  ExchangeEnd,
  ExchangeEvents,
  ExchangeOptions,
} from "./types.ts";
import { watchClose } from "./watch_close.ts";

type UpstreamExchangeParts = ExchangeEvents & {
  readonly pool: ConnectionPool;
  readonly dialect: CallDialect;
};

/**
 * Sends one request to one upstream, reports the response, and ends exactly
 * once. A connection returns to the pool only after a complete response that
 * carries the id of this request.
 */
export class UpstreamExchange {
  readonly #options: ExchangeOptions;
  readonly #parts: UpstreamExchangeParts;
  /** Undefined if it could not be built. */
  readonly #request: ClientRequest | undefined;
  readonly #stallTimer: StallTimer;
  #answer: IncomingMessage | undefined;
  #closeWatch: CloseWatch | undefined;
  /** Whether its end has come, and it is being found out how. */
  #isClosing = false;
  #connectTimer: NodeJS.Timeout | undefined;
  readonly #sentMs = performance.now();
  #isHeadTimeoutExtended = false;
  #mayHaveBeenSent = false;
  #isEnded = false;

  constructor(options: ExchangeOptions, parts: UpstreamExchangeParts) {
    this.#options = options;
    this.#parts = parts;
    this.#stallTimer = new StallTimer(() => this.#handleStall());
    try {
      this.#request = openRequest(options, parts.pool);
      this.#send(this.#request);
    } catch (error) {
      this.#endUnbuilt(describeError(error));
    }
  }

  /**
   * Cancels the request without calling `onEnd`; the upstream sees the
   * connection close.
   */
  cancel(): void {
    this.#isEnded = true;
    this.#release();
    this.#request?.destroy();
  }

  /** Resumes a response that was paused because `onChunk` returned false. */
  resume(): void {
    if (this.#answer?.isPaused() === true) {
      this.#answer.resume();
      this.#stallTimer.start(this.#options.stallTimeoutMs);
    }
  }

  #send(request: ClientRequest): void {
    request.on("socket", (socket) => this.#watchConnect(socket, request));
    const headWatch = new AnswerHeadWatch(request);
    request.on("response", (response) =>
      this.#handleEvent(() =>
        this.#handleHead(response, request, headWatch.finish()),
      ),
    );
    request.on("error", (error) => this.#endLost(error.message));
    request.end(this.#options.body);
    request.on("close", () => this.#handleClose());
    this.#stallTimer.start(this.#options.headTimeoutMs);
  }

  /** Ends after the constructor, as callers can't be told before it returns. */
  #endUnbuilt(reason: string): void {
    this.#request?.destroy();
    setImmediate(() => {
      this.#end({ kind: "unsent", reason, isUnbuilt: true });
    });
  }

  /** An exception of a receiver ends this exchange and nothing else. */
  #handleEvent(handle: () => void): void {
    try {
      handle();
    } catch (error) {
      if (this.#isEnded) {
        throw error;
      }
      this.#endLost(describeError(error));
      this.#request?.destroy();
    }
  }

  #watchConnect(socket: Socket, request: ClientRequest): void {
    socket.setNoDelay(true);
    if (!socket.connecting) {
      this.#mayHaveBeenSent = true;
      return;
    }
    this.#connectTimer = setTimeout(
      () => request.destroy(new Error("connect timeout")),
      EXCHANGE.CONNECT_TIMEOUT_MS,
    );
    socket.once("connect", () => {
      clearTimeout(this.#connectTimer);
      this.#mayHaveBeenSent = true;
      this.#parts.onConnect?.();
    });
  }

  /** Handles a head; `fault` says why it is none. */
  #handleHead(
    response: IncomingMessage,
    request: ClientRequest,
    fault: string | undefined,
  ): void {
    if (this.#isEnded) {
      return;
    }
    const { dialect, onHead } = this.#parts;
    const responseHead = dialect.readResponseHead(response.headers);
    const { requestId } = this.#options;
    const status = response.statusCode ?? 0;
    const isReused = request.reusedSocket;
    const { socket } = response;
    const earlier = connectionAnswers.find(socket, requestId);
    const asked = { requestId, isReused, earlier };
    const reason = fault ?? findForeignReason(asked, responseHead, status);
    if (reason !== undefined) {
      this.#endLost(reason);
      request.destroy();
      return;
    }
    const named = responseHead.requestId;
    if (!connectionAnswers.record(socket, named, isSuccess(status))) {
      request.shouldKeepAlive = false;
    }
    this.#options.lastConnection?.set(socket);
    this.#parts.onAnswer?.(status, responseHead);
    if (responseHead.isUnexecuted) {
      drainRefusal(response, request);
      this.#end({ kind: "unexecuted", status });
      return;
    }
    const bodyEnd = readBodyEnd(response, this.#options.method);
    if (bodyEnd === "unreadable") {
      this.#endLost("the answer's body has a coding that is not read");
      request.destroy();
      return;
    }
    this.#answer = response;
    response.on("data", (chunk: Buffer) =>
      this.#handleEvent(() => this.#handleChunk(response, chunk)),
    );
    response.on("end", () => this.#handleEnd(response));
    response.on("error", (error) => this.#endLost(error.message));
    response.on("close", () => this.#endLost("the answer broke off"));
    this.#stallTimer.start(this.#options.stallTimeoutMs);
    this.#closeWatch = watchClose(response, bodyEnd === "connection");
    onHead(describeHead(response, status, bodyEnd));
  }

  #handleChunk(response: IncomingMessage, chunk: Buffer): void {
    if (this.#isEnded) {
      return;
    }
    this.#stallTimer.start(this.#options.stallTimeoutMs);
    if (!this.#parts.onChunk(chunk)) {
      response.pause();
      this.#stallTimer.stop();
    }
  }

  #handleEnd(response: IncomingMessage): void {
    if (!response.complete) {
      this.#endLost("the answer broke off");
      return;
    }
    const closing = this.#closeWatch?.();
    if (closing === undefined) {
      this.#end({ kind: "whole" });
      return;
    }
    this.#isClosing = true;
    this.#stallTimer.start(this.#options.stallTimeoutMs);
    void findCloseEnd(closing, this.#options).then((end) => this.#end(end));
  }

  /** Some ends, as by a status of 101, are neither an answer nor an error. */
  #handleClose(): void {
    if (this.#answer === undefined) {
      this.#endLost("the connection was closed without an answer");
    }
  }

  #handleStall(): void {
    if (this.#canExtendHeadTimeout()) {
      this.#isHeadTimeoutExtended = true;
      this.#stallTimer.start(this.#options.headTimeoutMs);
      return;
    }
    const { pool } = this.#parts;
    pool.closeIdle(`http://${this.#options.address}`);
    const reason = "nothing came for too long";
    this.#end(
      this.#mayHaveBeenSent
        ? { kind: "lost", reason, isSilent: true }
        : { kind: "unsent", reason },
    );
    this.#request?.destroy();
  }

  /**
   * Returns whether the upstream is active but busy, so that it gets more time
   * for the head.
   */
  #canExtendHeadTimeout(): boolean {
    return (
      this.#answer === undefined &&
      !this.#isHeadTimeoutExtended &&
      this.#options.hasActivitySince?.(this.#sentMs) === true
    );
  }

  #endLost(reason: string): void {
    if (this.#isClosing) {
      return;
    }
    this.#end(
      this.#mayHaveBeenSent
        ? { kind: "lost", reason, isSilent: false }
        : { kind: "unsent", reason },
    );
  }

  #end(end: ExchangeEnd): void {
    if (this.#isEnded) {
      return;
    }
    this.#isEnded = true;
    this.#release();
    this.#parts.onEnd(end);
  }

  #release(): void {
    this.#stallTimer.stop();
    clearTimeout(this.#connectTimer);
  }
}
