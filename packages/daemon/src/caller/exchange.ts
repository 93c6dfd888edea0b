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

const LINGER_MS = 60_000;

/**
 * One caller's request: what to send upstream, and where the answer goes. The
 * first attempt that writes is the one whose answer the caller gets.
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
  #announcedBytes: number | undefined;
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

  /** A sink for one attempt; dead once another attempt has written. */
  openSink(attemptId: AttemptId, upstreamId: UpstreamId): AnswerSink {
    this.#upstreams.push(upstreamId);
    return {
      writeHead: (head) => {
        if (this.#writer === undefined) {
          this.#writeHead(attemptId, head);
        }
      },
      write: (chunk) => this.#writer !== attemptId || this.#write(chunk),
      waitForRoom: () => waitForRoom(this.#res),
    };
  }

  complete(): void {
    this.#linger();
    const announced = this.#announcedBytes;
    checkInvariant(
      "whole-answer-to-own-request",
      this.#writer !== undefined &&
        (announced === undefined || announced === this.#writtenBytes),
      () => `${this.#writtenBytes} bytes of ${announced}`,
    );
    this.#chunks?.end();
    this.#end();
  }

  /**
   * Refuses the request. Once a stream has started the refusal is an event
   * in it, and the end mark stays away; any other answer that has started is
   * broken off, so that it can't pass for a whole one.
   */
  refuse(refusal: Refusal): void {
    this.#linger();
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

  /** Cuts off a caller that does not read the end of its answer. */
  #linger(): void {
    const timer = setTimeout(() => this.#res.destroy(), LINGER_MS);
    timer.unref();
    this.#res.once("close", () => clearTimeout(timer));
  }

  /** Ends the exchange of a caller that is gone. */
  drop(): void {
    this.#end();
  }

  /** Upstreams of the attempts made so far. */
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
    this.#announcedBytes = hasBody ? Number(length) : undefined;
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
