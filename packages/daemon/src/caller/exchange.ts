import type { ServerResponse } from "node:http";
import type { Refusal } from "@gooseberryline/core";
import type { AnswerHead, AnswerSink, AttemptCall } from "../tasks/types.ts";
import { HttpRefusal } from "./http_refusal.ts";

/** One caller's request: what to send upstream, and where answers go. */
export class Exchange {
  readonly call: AttemptCall;
  readonly sink: AnswerSink;
  readonly ended: Promise<void>;
  readonly #res: ServerResponse;
  #end: () => void = () => undefined;

  constructor(call: AttemptCall, res: ServerResponse) {
    this.call = call;
    this.#res = res;
    this.ended = new Promise((resolve) => {
      this.#end = resolve;
    });
    this.sink = {
      writeHead: (head) => this.#writeHead(head),
      write: (chunk) => res.write(chunk),
      waitForRoom: () => waitForRoom(res),
    };
  }

  complete(): void {
    this.#res.end();
    this.#end();
  }

  /**
   * Refuses the request. Once a stream has started the refusal is an event
   * in it, and the end mark stays away.
   */
  refuse(refusal: Refusal): void {
    const { status, headers, body } = HttpRefusal.from(refusal);
    if (!this.#res.headersSent) {
      const type = { "content-type": "application/json" };
      this.#res.writeHead(status, { ...headers, ...type });
      this.#res.end(JSON.stringify(body));
    } else if (this.call.isStream) {
      this.#res.end(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
    } else {
      this.#res.destroy();
    }
    this.#end();
  }

  #writeHead({ status, headers }: AnswerHead): void {
    const requestId = this.#res.getHeader("x-request-id");
    this.#res.writeHead(status, {
      ...headers,
      "x-request-id": String(requestId),
    });
    this.#res.flushHeaders();
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
