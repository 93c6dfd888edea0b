import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type {
  AttemptOutcome,
  FaultCode,
  FaultStep,
} from "@gooseberryline/core";
import { AnswerMarks } from "./answer_marks.ts";
import { describeHead } from "./describe_head.ts";
import type { AnswerHead, AttemptOrder } from "./types.ts";
import type { UpstreamPool } from "./upstream_pool.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_KEPT_BYTES = 262_144;
const TOO_MANY_REQUESTS = 429;
const SERVER_ERROR = 500;
const NO_BYTES: Buffer = Buffer.alloc(0);
/** Header by which an upstream names its present start. */
const BOOT_HEADER = "x-boot-id";

/** What an answer tells of the upstream. */
type SeenUpstream = { readonly bootId?: string };

type AttemptParts = {
  readonly pool: UpstreamPool;
  readonly onFirstToken: (seen: SeenUpstream) => void;
  readonly onEnd: (outcome: AttemptOutcome, seen: SeenUpstream) => void;
};

/**
 * One attempt at an upstream. Streams are relayed event by event as they
 * arrive; other answers are kept back up to `MAX_KEPT_BYTES`, so that one
 * which breaks off can be tried again. A connection is pooled again only
 * after a whole answer to this attempt.
 */
export class UpstreamAttempt {
  readonly #order: AttemptOrder;
  readonly #parts: AttemptParts;
  readonly #request: ClientRequest;
  #marks: AnswerMarks | undefined;
  #head: AnswerHead | undefined;
  #kept: Buffer[] = [];
  #keptBytes = 0;
  #seen: SeenUpstream = {};
  #mayBeSent = false;
  #hasBegun = false;
  #isRelayed = false;
  #isOver = false;

  constructor(order: AttemptOrder, parts: AttemptParts) {
    this.#order = order;
    this.#parts = parts;
    const request = parts.pool.open(order);
    this.#request = request;
    request.on("socket", (socket) => this.#watchConnect(socket));
    request.on("response", (answer) => this.#takeAnswer(answer));
    request.on("error", (error) => this.#endLost(error.message));
    request.on("close", () => this.#takeClose());
    request.end(order.call.body);
  }

  /**
   * Ends the attempt and closes its connection; nothing more is told. Where
   * a pooled connection went silent the idle ones go too: what lost track of
   * one may have lost track of all.
   */
  cancel(isSilent: boolean): void {
    this.#isOver = true;
    this.#request.destroy();
    if (isSilent) {
      this.#parts.pool.dropIdle(this.#order.upstreamUrl);
    }
  }

  /** Nothing is written before the connection stands. */
  #watchConnect(socket: Socket): void {
    if (!socket.connecting) {
      this.#mayBeSent = true;
      return;
    }
    const timer = setTimeout(
      () => this.#request.destroy(new Error("connect timeout")),
      CONNECT_TIMEOUT_MS,
    );
    const isTls = "encrypted" in socket;
    socket.once(isTls ? "secureConnect" : "connect", () => {
      this.#mayBeSent = true;
      clearTimeout(timer);
    });
    socket.once("close", () => clearTimeout(timer));
  }

  /** An answer may still be read after its connection was closed. */
  #takeClose(): void {
    if (this.#marks === undefined) {
      this.#endLost("the connection was closed");
    }
  }

  #takeAnswer(answer: IncomingMessage): void {
    const order = this.#order;
    const echoed = answer.headers["x-request-id"];
    const status = answer.statusCode ?? 0;
    const bootId = answer.headers[BOOT_HEADER];
    this.#seen = bootId === undefined ? {} : { bootId: String(bootId) };
    if (echoed !== undefined && echoed !== order.attemptId) {
      this.#fail("answer_mismatch", "the answer names another request");
      return;
    }
    if (isUpstreamError(status) && !shouldRelayError(order)) {
      this.#refuseStatus(status, answer.headers["x-run"] === "not run");
      return;
    }
    const marks = new AnswerMarks(answer, order.call);
    this.#marks = marks;
    this.#head = describeHead(answer, marks.isEventStream);
    answer.on("data", (chunk: Buffer) => this.#takeChunk(answer, chunk));
    answer.on("end", () => this.#takeEnd());
    answer.on("error", (error) => this.#endLost(error.message));
    answer.on("close", () => this.#endLost("the answer broke off"));
  }

  #takeChunk(answer: IncomingMessage, chunk: Buffer): void {
    if (this.#isOver || this.#marks === undefined) {
      return;
    }
    this.#begin();
    const bytes = this.#marks.note(chunk);
    if (bytes.length === 0) {
      return;
    }
    if (this.#marks.isEventStream || this.#isRelayed) {
      this.#relay(answer, bytes);
      return;
    }
    this.#kept.push(bytes);
    this.#keptBytes += bytes.length;
    if (this.#keptBytes > MAX_KEPT_BYTES) {
      this.#relay(answer, this.#takeKept());
    }
  }

  #begin(): void {
    if (!this.#hasBegun) {
      this.#hasBegun = true;
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
      void sink.waitForRoom().then(() => answer.resume());
    }
  }

  #takeKept(): Buffer {
    const kept = Buffer.concat(this.#kept);
    this.#kept = [];
    return kept;
  }

  #takeEnd(): void {
    if (this.#isOver) {
      return;
    }
    if (this.#marks?.isWhole() !== true) {
      this.#fail("answer_cut_off", "the answer was cut off");
      return;
    }
    this.#complete();
  }

  #complete(): void {
    this.#begin();
    this.#relay(undefined, this.#takeKept());
    this.#relay(undefined, this.#marks?.held ?? NO_BYTES);
    this.#end({
      kind: "completed",
      status: this.#head?.status ?? 0,
      tokens: this.#marks?.countTokens() ?? 0,
    });
  }

  /** Ends an attempt whose connection went away. */
  #endLost(message: string): void {
    if (this.#isOver) {
      return;
    }
    if (this.#marks?.hasEndMark() === true) {
      this.#complete();
    } else if (this.#marks !== undefined) {
      this.#fail("answer_cut_off", message);
    } else if (this.#mayBeSent) {
      this.#fail("upstream_error", message);
    } else {
      const code = "upstream_unreachable";
      const fault = this.#describe(code, "connect", message);
      this.#end({ kind: "not-started", fault });
    }
  }

  #refuseStatus(status: number, isUnrun: boolean): void {
    const message = `the upstream answered ${status}`;
    if (!isUnrun) {
      this.#fail("upstream_error", message);
      return;
    }
    const fault = this.#describe("upstream_error", "answer", message);
    this.#end({ kind: "not-started", fault });
    this.#request.destroy();
  }

  #fail(code: FaultCode, message: string): void {
    const fault = this.#describe(code, "answer", message);
    const isRelayed = this.#isRelayed;
    this.#end({ kind: "failed", fault, isRelayed });
    this.#request.destroy();
  }

  #describe(code: FaultCode, step: FaultStep, message: string) {
    return { code, step, peer: this.#order.upstreamId, message };
  }

  #end(outcome: AttemptOutcome): void {
    this.#isOver = true;
    this.#parts.onEnd(outcome, this.#seen);
  }
}

function isUpstreamError(status: number): boolean {
  return status >= SERVER_ERROR || status === TOO_MANY_REQUESTS;
}

function shouldRelayError({ call }: AttemptOrder): boolean {
  return call.isPlain === true && call.isIdempotent === false;
}
