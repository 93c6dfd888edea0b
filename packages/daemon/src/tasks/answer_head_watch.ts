import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { checkAnswerHead, dropEmptyLines } from "@gooseberryline/core";

const NO_BYTES: Buffer = Buffer.alloc(0);

/**
 * Keeps the bytes of a request's answer until its head has come, to check what the
 * runtime's parser has made of them. How strict the parser is depends on the release
 * and on flags of the process.
 */
export class AnswerHeadWatch {
  #socket: Socket | undefined;
  #bytes: Buffer = NO_BYTES;
  #fault: string | undefined;

  /** Begins before the request is sent. */
  constructor(request: ClientRequest) {
    request.once("socket", (socket) => {
      this.#socket = socket;
      // Before the runtime's own listener, which gives the bytes to the parser.
      socket.prependListener("data", this.#append);
    });
    // Heads that come before the one of the answer.
    request.on("information", () => this.#checkHead());
  }

  /**
   * Ends the watch, once the runtime says that the head of the answer has come.
   * Returns why it is no head; undefined if it is one.
   */
  finish(): string | undefined {
    this.#checkHead();
    this.#socket?.off("data", this.#append);
    this.#bytes = NO_BYTES;
    return this.#fault;
  }

  #checkHead(): void {
    const { fault, rest } = checkAnswerHead(this.#bytes);
    this.#fault ??= fault;
    this.#bytes = rest;
  }

  readonly #append = (chunk: Buffer): void => {
    // The parser bounds a head, but no number of empty lines before it.
    this.#bytes =
      this.#bytes.length === 0
        ? dropEmptyLines(chunk)
        : Buffer.concat([this.#bytes, chunk]);
  };
}
