import {
  type ClientRequest,
  type IncomingMessage,
  request as sendRequest,
} from "node:http";
import type { Socket } from "node:net";
import type { ConnectionPool } from "@gooseberryline/daemon";
import type { CallDialect } from "../dialect/types.ts";
import { EXCHANGE } from "./constants.ts";
import { StallTimer } from "./stall_timer.ts";
import type {
  ExchangeEnd,
  ExchangeEvents,
  ExchangeHead,
  ExchangeOptions,
} from "./types.ts";

type UpstreamExchangeParts = ExchangeEvents & {
  readonly pool: ConnectionPool;
  readonly dialect: CallDialect;
};

/**
 * One request at one upstream: sends it, tells what comes back, and ends
 * exactly once. A connection is pooled again only after a whole answer that
 * names this request.
 */
export class UpstreamExchange {
  readonly #options: ExchangeOptions;
  readonly #parts: UpstreamExchangeParts;
  readonly #request: ClientRequest;
  readonly #stallTimer: StallTimer;
  #answer: IncomingMessage | undefined;
  #connectTimer: NodeJS.Timeout | undefined;
  readonly #sentMs = performance.now();
  #isHeadTimeoutExtended = false;
  #mayHaveBeenSent = false;
  #isEnded = false;

  constructor(order: ExchangeOptions, parts: UpstreamExchangeParts) {
    this.#options = order;
    this.#parts = parts;
    this.#stallTimer = new StallTimer(() => this.#handleStall());
    this.#request = this.#open();
    this.#request.on("socket", (socket) => this.#watchConnect(socket));
    this.#request.on("response", (answer) => this.#handleHead(answer));
    this.#request.on("error", (error) => this.#endLost(error.message));
    this.#request.end(order.body);
    this.#stallTimer.start(order.headWithinMs);
  }

  /** Ends it without a word: the upstream sees the connection close. */
  cancel(): void {
    this.#isEnded = true;
    this.#release();
    this.#request.destroy();
  }

  /** Goes on after `onChunk` had no room. */
  resume(): void {
    if (this.#answer?.isPaused() === true) {
      this.#answer.resume();
      this.#stallTimer.start(this.#options.pauseWithinMs);
    }
  }

  #open(): ClientRequest {
    const { address, method, path, headers, body, isIdempotent } =
      this.#options;
    const url = new URL(`http://${address}`);
    return sendRequest({
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
      this.#mayHaveBeenSent = true;
      return;
    }
    this.#connectTimer = setTimeout(
      () => this.#request.destroy(new Error("connect timeout")),
      EXCHANGE.CONNECT_TIMEOUT_MS,
    );
    socket.once("connect", () => {
      clearTimeout(this.#connectTimer);
      this.#mayHaveBeenSent = true;
    });
  }

  #handleHead(answer: IncomingMessage): void {
    if (this.#isEnded) {
      return;
    }
    const { dialect, onHead } = this.#parts;
    const told = dialect.readAnswer(answer.headers);
    const { requestId } = this.#options;
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
    answer.on("data", (chunk: Buffer) => this.#handleChunk(answer, chunk));
    answer.on("end", () => this.#handleEnd(answer));
    answer.on("error", (error) => this.#endLost(error.message));
    answer.on("close", () => this.#endLost("the answer broke off"));
    this.#stallTimer.start(this.#options.pauseWithinMs);
    onHead(describeHead(answer, status));
  }

  #handleChunk(answer: IncomingMessage, chunk: Buffer): void {
    if (this.#isEnded) {
      return;
    }
    this.#stallTimer.start(this.#options.pauseWithinMs);
    if (!this.#parts.onChunk(chunk)) {
      answer.pause();
      this.#stallTimer.stop();
    }
  }

  #handleEnd(answer: IncomingMessage): void {
    if (answer.complete) {
      this.#end({ kind: "whole" });
    } else {
      this.#endLost("the answer broke off");
    }
  }

  #handleStall(): void {
    if (this.#canExtendHeadTimeout()) {
      this.#isHeadTimeoutExtended = true;
      this.#stallTimer.start(this.#options.headWithinMs);
      return;
    }
    const { pool } = this.#parts;
    pool.dropIdle(`http://${this.#options.address}`);
    const reason = "nothing came for too long";
    this.#end(
      this.#mayHaveBeenSent
        ? { kind: "lost", reason, isSilent: true }
        : { kind: "unsent", reason },
    );
    this.#request.destroy();
  }

  /** Whether a silent upstream only has others to answer first. */
  #canExtendHeadTimeout(): boolean {
    return (
      this.#answer === undefined &&
      !this.#isHeadTimeoutExtended &&
      this.#options.hasActivitySince?.(this.#sentMs) === true
    );
  }

  #endLost(reason: string): void {
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
