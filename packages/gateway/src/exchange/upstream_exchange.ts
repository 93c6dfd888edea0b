import {
  type ClientRequest,
  type IncomingMessage,
  request as openRequest,
} from "node:http";
import type { Socket } from "node:net";
import type { ConnectionPool } from "@gooseberryline/daemon";
import type { CallDialect } from "../dialect/types.ts";
import { EXCHANGE } from "./constants.ts";
import { SilenceTimer } from "./silence_timer.ts";
import type {
  ExchangeEnd,
  ExchangeEvents,
  ExchangeHead,
  ExchangeOrder,
} from "./types.ts";

type ExchangeParts = ExchangeEvents & {
  readonly pool: ConnectionPool;
  readonly dialect: CallDialect;
};

/**
 * One request at one upstream: sends it, tells what comes back, and ends
 * exactly once. A connection is pooled again only after a whole answer that
 * names this request.
 */
export class UpstreamExchange {
  readonly #order: ExchangeOrder;
  readonly #parts: ExchangeParts;
  readonly #request: ClientRequest;
  readonly #silence: SilenceTimer;
  #answer: IncomingMessage | undefined;
  #connectTimer: NodeJS.Timeout | undefined;
  readonly #sentMs = performance.now();
  #isExtended = false;
  #mayBeSent = false;
  #isOver = false;

  constructor(order: ExchangeOrder, parts: ExchangeParts) {
    this.#order = order;
    this.#parts = parts;
    this.#silence = new SilenceTimer(() => this.#endSilent());
    this.#request = this.#open();
    this.#request.on("socket", (socket) => this.#watchConnect(socket));
    this.#request.on("response", (answer) => this.#takeHead(answer));
    this.#request.on("error", (error) => this.#endLost(error.message));
    this.#request.end(order.body);
    this.#silence.start(order.headWithinMs);
  }

  /** Ends it without a word: the upstream sees the connection close. */
  cancel(): void {
    this.#isOver = true;
    this.#release();
    this.#request.destroy();
  }

  /** Goes on after `onChunk` had no room. */
  resume(): void {
    if (this.#answer?.isPaused() === true) {
      this.#answer.resume();
      this.#silence.start(this.#order.pauseWithinMs);
    }
  }

  #open(): ClientRequest {
    const { address, method, path, headers, body, isIdempotent } = this.#order;
    const url = new URL(`http://${address}`);
    return openRequest({
      method,
      path,
      host: url.hostname,
      port: url.port,
      headers: { ...headers, ...describeBody(method, body) },
      agent: isIdempotent ? this.#parts.pool.find(url.origin) : false,
    });
  }

  #watchConnect(socket: Socket): void {
    socket.setNoDelay(true);
    if (!socket.connecting) {
      this.#mayBeSent = true;
      return;
    }
    this.#connectTimer = setTimeout(
      () => this.#request.destroy(new Error("connect timeout")),
      EXCHANGE.CONNECT_MS,
    );
    socket.once("connect", () => {
      clearTimeout(this.#connectTimer);
      this.#mayBeSent = true;
    });
  }

  #takeHead(answer: IncomingMessage): void {
    if (this.#isOver) {
      return;
    }
    const { dialect, onHead } = this.#parts;
    const told = dialect.readAnswer(answer.headers);
    const { requestId } = this.#order;
    const status = answer.statusCode ?? 0;
    if (told.requestId !== undefined && told.requestId !== requestId) {
      this.#endLost("the answer names another request");
      this.#request.destroy();
      return;
    }
    if (told.isUnexecuted) {
      answer.resume();
      this.#end({ kind: "unexecuted", status });
      return;
    }
    this.#answer = answer;
    answer.on("data", (chunk: Buffer) => this.#takeChunk(answer, chunk));
    answer.on("end", () => this.#takeEnd(answer));
    answer.on("error", (error) => this.#endLost(error.message));
    answer.on("close", () => this.#endLost("the answer broke off"));
    this.#silence.start(this.#order.pauseWithinMs);
    onHead(describeHead(answer, status));
  }

  #takeChunk(answer: IncomingMessage, chunk: Buffer): void {
    if (this.#isOver) {
      return;
    }
    this.#silence.start(this.#order.pauseWithinMs);
    if (!this.#parts.onChunk(chunk)) {
      answer.pause();
      this.#silence.stop();
    }
  }

  #takeEnd(answer: IncomingMessage): void {
    if (answer.complete) {
      this.#end({ kind: "whole" });
    } else {
      this.#endLost("the answer broke off");
    }
  }

  #endSilent(): void {
    if (this.#isBusy()) {
      this.#isExtended = true;
      this.#silence.start(this.#order.headWithinMs);
      return;
    }
    const { pool } = this.#parts;
    pool.dropIdle(`http://${this.#order.address}`);
    const reason = "nothing came for too long";
    this.#end(
      this.#mayBeSent
        ? { kind: "lost", reason, isSilent: true }
        : { kind: "unsent", reason },
    );
    this.#request.destroy();
  }

  /** Whether a silent upstream only has others to answer first. */
  #isBusy(): boolean {
    return (
      this.#answer === undefined &&
      !this.#isExtended &&
      this.#order.isAlive?.(this.#sentMs) === true
    );
  }

  #endLost(reason: string): void {
    this.#end(
      this.#mayBeSent
        ? { kind: "lost", reason, isSilent: false }
        : { kind: "unsent", reason },
    );
  }

  #end(end: ExchangeEnd): void {
    if (this.#isOver) {
      return;
    }
    this.#isOver = true;
    this.#release();
    this.#parts.onEnd(end);
  }

  #release(): void {
    this.#silence.stop();
    clearTimeout(this.#connectTimer);
  }
}

function describeBody(method: string, body: Buffer): Record<string, string> {
  const hasBody = body.length > 0 || method === "POST" || method === "PUT";
  return hasBody ? { "content-length": String(body.length) } : {};
}

function describeHead(answer: IncomingMessage, status: number): ExchangeHead {
  const { headers, rawHeaders } = answer;
  const type = headers["content-type"] ?? "";
  const isEventStream = type.startsWith("text/event-stream");
  return { status, headers, rawHeaders, isEventStream };
}
