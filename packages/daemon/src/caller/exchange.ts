import type { ServerResponse } from "node:http";
import {
  type AttemptId,
  checkInvariant,
  type Refusal,
  type UpstreamId,
} from "@gooseberryline/core";
import type { AnswerHead, AnswerSink, AttemptCall } from "../tasks/types.ts";
import { ChunkWriter } from "./chunk_writer.ts";
import { HttpRefusal } from "./http_refusal.ts";

const CLOSE_TIMEOUT_MS = 60_000;

/**
 * A caller's request and its response. The caller receives the answer of the
 * first attempt that writes; output of other attempts is discarded.
 */
export class Exchange {
  readonly call: AttemptCall;
  readonly ended: Promise<void>;
  readonly #res: ServerResponse;
  readonly #onFirstWrite: () => void;
  #writer: AttemptId | undefined;
  #isEventStream = false;
  readonly #upstreams: UpstreamId[] = [];
  #chunks: ChunkWriter | undefined;
  #expectedBytes: number | undefined;
  #writtenBytes = 0;
  #end: () => void = () => undefined;

  constructor(
    call: AttemptCall,
    res: ServerResponse,
    onFirstWrite: () => void,
  ) {
    this.call = call;
    this.#res = res;
    this.#onFirstWrite = onFirstWrite;
    this.ended = new Promise((resolve) => {
      this.#end = resolve;
    });
  }

  /**
   * Returns the sink of one attempt; it discards writes once another attempt
   * has written.
   */
  openSink(attemptId: AttemptId, upstreamId: UpstreamId): AnswerSink {
    this.#upstreams.push(upstreamId);
    return {
      writeHead: (head) => {
        if (this.#writer === undefined) {
          this.#writeHead(attemptId, head);
        }
      },
      write: (chunk) => this.#writer !== attemptId || this.#write(chunk),
      waitForDrain: () => waitForRoom(this.#res),
    };
  }

  complete(): void {
    this.#startCloseTimeout();
    const expected = this.#expectedBytes;
    checkInvariant(
      "whole-answer-to-own-request",
      this.#writer !== undefined &&
        (expected === undefined || expected === this.#writtenBytes),
      () => `${this.#writtenBytes} bytes of ${expected}`,
    );
    this.#chunks?.end();
    this.#end();
  }

  /**
   * Refuses the request. In an event stream that has started, the refusal is
   * sent as an event and the `[DONE]` marker is omitted; any other answer that
   * has started is aborted, so that it can't be taken for a complete one.
   */
  refuse(refusal: Refusal): void {
    this.#startCloseTimeout();
    const { status, headers, body } = HttpRefusal.from(refusal);
    if (!this.#res.headersSent) {
      const type = { "content-type": "application/json" };
      this.#res.writeHead(status, { ...headers, ...type });
      this.#res.end(JSON.stringify(body));
    } else if (this.#isEventStream) {
      this.#chunks?.end(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
    } else {
      this.#res.destroy();
    }
    this.#end();
  }

  /**
   * Destroys the connection if the caller doesn't read the rest of its answer
   * in time.
   */
  #startCloseTimeout(): void {
    const timer = setTimeout(() => this.#res.destroy(), CLOSE_TIMEOUT_MS);
    timer.unref();
    this.#res.once("close", () => clearTimeout(timer));
  }

  /** Ends the exchange after the caller has disconnected. */
  drop(): void {
    this.#end();
  }

  /** Upstreams of the attempts made so far, in order. */
  get upstreams(): readonly UpstreamId[] {
    return this.#upstreams;
  }

  get status(): number {
    return this.#res.statusCode;
  }

  #writeHead(attemptId: AttemptId, { status, headers }: AnswerHead): void {
    const type = headers["content-type"] ?? "";
    const length = headers["content-length"];
    const requestId = String(this.#res.getHeader("x-request-id"));
    this.#writer = attemptId;
    this.#isEventStream = type.startsWith("text/event-stream");
    const hasBody = this.call.method !== "HEAD" && length !== undefined;
    this.#expectedBytes = hasBody ? Number(length) : undefined;
    this.#res.writeHead(status, { ...headers, "x-request-id": requestId });
    this.#res.flushHeaders();
    this.#chunks = new ChunkWriter(this.#res);
    this.#onFirstWrite();
  }

  #write(chunk: Buffer): boolean {
    this.#writtenBytes += chunk.length;
    return this.#chunks?.write(chunk) ?? true;
  }
}

function waitForRoom(res: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const settle = (): void => {
      res.off("drain", settle);
      res.off("close", settle);
      resolve();
    };
    res.on("drain", settle);
    res.on("close", settle);
  });
}
