import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type {
  AttemptOutcome,
  FaultCode,
  FaultStep,
} from "@gooseberryline/core";
import { AnswerHeadWatch } from "./answer_head_watch.ts";
import { AnswerTracker } from "./answer_tracker.ts";
import { describeHead } from "./describe_head.ts";
import { readBodyEnd } from "./read_body_end.ts";
import type { AnswerHead, AttemptOrder } from "./types.ts";
import type { UpstreamPool } from "./upstream_pool.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_BUFFERED_BYTES = 262_144;
/** Lowest status that HTTP has, and that can be passed on. */
const INFORMATION = 100;
const TOO_MANY_REQUESTS = 429;
const SERVER_ERROR = 500;
const EMPTY_BUFFER: Buffer = Buffer.alloc(0);
/** Header that identifies the current process start of an upstream. */
const BOOT_HEADER = "x-boot-id";

/** Information about the upstream that an answer carries. */
type UpstreamInfo = { readonly bootId?: string };

type AttemptParts = {
  readonly pool: UpstreamPool;
  readonly onFirstToken: (upstreamInfo: UpstreamInfo) => void;
  readonly onEnd: (outcome: AttemptOutcome, upstreamInfo: UpstreamInfo) => void;
};

/**
 * One attempt at an upstream. Streams are relayed event by event as they
 * arrive; other answers are buffered up to `MAX_BUFFERED_BYTES`, so that a
 * truncated one can be retried. A connection returns to the pool only after a
 * complete answer to this attempt.
 */
export class UpstreamAttempt {
  readonly #order: AttemptOrder;
  readonly #parts: AttemptParts;
  readonly #request: ClientRequest;
  #tracker: AnswerTracker | undefined;
  #head: AnswerHead | undefined;
  #kept: Buffer[] = [];
  #bufferedBytes = 0;
  #seen: UpstreamInfo = {};
  #hasConnected = false;
  #hasFirstToken = false;
  #isRelayed = false;
  #isEnded = false;

  constructor(order: AttemptOrder, parts: AttemptParts) {
    this.#order = order;
    this.#parts = parts;
    const request = parts.pool.open(order);
    this.#request = request;
    request.on("socket", (socket) => this.#watchConnect(socket));
    const headWatch = new AnswerHeadWatch(request);
    request.on("response", (answer) =>
      this.#handleAnswer(answer, headWatch.finish()),
    );
    request.on("error", (error) => this.#handleDisconnect(error.message));
    request.on("close", () => this.#handleClose());
    request.end(order.call.body);
  }

  /**
   * Cancels the attempt and closes its connection without reporting an outcome.
   * If the connection went silent, the idle connections to the same upstream
   * are closed too, since the cause may affect all of them.
   */
  cancel(isSilent: boolean): void {
    this.#isEnded = true;
    this.#request.destroy();
    if (isSilent) {
      this.#parts.pool.closeIdle(this.#order.upstreamUrl);
    }
  }

  /**
   * Enforces the connect timeout and records when the connection is
   * established; nothing is sent before that.
   */
  #watchConnect(socket: Socket): void {
    if (!socket.connecting) {
      this.#hasConnected = true;
      return;
    }
    const timer = setTimeout(
      () => this.#request.destroy(new Error("connect timeout")),
      CONNECT_TIMEOUT_MS,
    );
    const isTls = "encrypted" in socket;
    socket.once(isTls ? "secureConnect" : "connect", () => {
      this.#hasConnected = true;
      clearTimeout(timer);
    });
    socket.once("close", () => clearTimeout(timer));
  }

  /**
   * Reports a closed connection unless an answer has started, which can still
   * be read after the close.
   */
  #handleClose(): void {
    if (this.#tracker === undefined) {
      this.#handleDisconnect("the connection was closed");
    }
  }

  /** Handles the head of an answer; `headFault` says why it is none. */
  #handleAnswer(answer: IncomingMessage, headFault: string | undefined): void {
    if (headFault !== undefined) {
      this.#fail("upstream_error", headFault);
      return;
    }
    const order = this.#order;
    const answeredId = answer.headers["x-request-id"];
    const status = answer.statusCode ?? 0;
    const bootId = answer.headers[BOOT_HEADER];
    this.#seen = bootId === undefined ? {} : { bootId: String(bootId) };
    if (answeredId !== undefined && answeredId !== order.attemptId) {
      this.#fail("answer_mismatch", "the answer names another request");
      return;
    }
    if (status < INFORMATION) {
      this.#fail("upstream_error", `the answer has no status but ${status}`);
      return;
    }
    if (isUpstreamError(status) && !shouldRelayError(order)) {
      this.#handleErrorStatus(status, answer.headers["x-run"] === "not run");
      return;
    }
    if (readBodyEnd(answer, order.call.method) === "unreadable") {
      const message = "the answer's body has a coding that is not read";
      this.#fail("upstream_error", message);
      return;
    }
    const tracker = new AnswerTracker(answer, order.call);
    this.#tracker = tracker;
    this.#head = describeHead(answer, tracker.isEventStream);
    answer.on("data", (chunk: Buffer) => this.#handleChunk(answer, chunk));
    answer.on("end", () => this.#handleEnd());
    answer.on("error", (error) => this.#handleDisconnect(error.message));
    answer.on("close", () => this.#handleDisconnect("the answer broke off"));
  }

  #handleChunk(answer: IncomingMessage, chunk: Buffer): void {
    if (this.#isEnded || this.#tracker === undefined) {
      return;
    }
    this.#reportFirstToken();
    const bytes = this.#tracker.accept(chunk);
    if (bytes.length === 0) {
      return;
    }
    if (this.#tracker.isEventStream || this.#isRelayed) {
      this.#relay(answer, bytes);
      return;
    }
    this.#kept.push(bytes);
    this.#bufferedBytes += bytes.length;
    if (this.#bufferedBytes > MAX_BUFFERED_BYTES) {
      this.#relay(answer, this.#takeBuffered());
    }
  }

  #reportFirstToken(): void {
    if (!this.#hasFirstToken) {
      this.#hasFirstToken = true;
      this.#parts.onFirstToken(this.#seen);
    }
  }

  #relay(answer: IncomingMessage | undefined, bytes: Buffer): void {
    const { sink } = this.#order;
    if (!this.#isRelayed && this.#head !== undefined) {
      this.#isRelayed = true;
      sink.writeHead(this.#head);
    }
    if (bytes.length > 0 && !sink.write(bytes) && answer !== undefined) {
      answer.pause();
      void sink.waitForDrain().then(() => answer.resume());
    }
  }

  #takeBuffered(): Buffer {
    const buffered = Buffer.concat(this.#kept);
    this.#kept = [];
    return buffered;
  }

  #handleEnd(): void {
    if (this.#isEnded) {
      return;
    }
    if (this.#tracker?.isComplete() !== true) {
      this.#fail("answer_cut_off", "the answer was cut off");
      return;
    }
    this.#complete();
  }

  #complete(): void {
    this.#reportFirstToken();
    this.#relay(undefined, this.#takeBuffered());
    this.#relay(undefined, this.#tracker?.held ?? EMPTY_BUFFER);
    this.#end({
      kind: "completed",
      status: this.#head?.status ?? 0,
      tokens: this.#tracker?.countTokens() ?? 0,
    });
  }

  /**
   * Ends an attempt whose connection was lost; the answer is still complete if
   * its `[DONE]` marker was received.
   */
  #handleDisconnect(message: string): void {
    if (this.#isEnded) {
      return;
    }
    if (this.#tracker?.hasDoneMarker() === true) {
      this.#complete();
    } else if (this.#tracker !== undefined) {
      this.#fail("answer_cut_off", message);
    } else if (this.#hasConnected) {
      this.#fail("upstream_error", message);
    } else {
      const code = "upstream_unreachable";
      const fault = this.#describeFault(code, "connect", message);
      this.#end({ kind: "not-started", fault });
    }
  }

  #handleErrorStatus(status: number, isNotRun: boolean): void {
    const message = `the upstream answered ${status}`;
    if (!isNotRun) {
      this.#fail("upstream_error", message);
      return;
    }
    const fault = this.#describeFault("upstream_error", "answer", message);
    this.#end({ kind: "not-started", fault });
    this.#request.destroy();
  }

  #fail(code: FaultCode, message: string): void {
    const fault = this.#describeFault(code, "answer", message);
    const isRelayed = this.#isRelayed;
    this.#end({ kind: "failed", fault, isRelayed });
    this.#request.destroy();
  }

  #describeFault(code: FaultCode, step: FaultStep, message: string) {
    return { code, step, peer: this.#order.upstreamId, message };
  }

  #end(outcome: AttemptOutcome): void {
    this.#isEnded = true;
    this.#parts.onEnd(outcome, this.#seen);
  }
}

function isUpstreamError(status: number): boolean {
  return status >= SERVER_ERROR || status === TOO_MANY_REQUESTS;
}

function shouldRelayError({ call }: AttemptOrder): boolean {
  return call.isPlain === true && call.isIdempotent === false;
}
