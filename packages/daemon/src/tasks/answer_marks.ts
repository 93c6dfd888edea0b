import type { IncomingHttpHeaders } from "node:http";

const END_MARK = Buffer.from("data: [DONE]");
const TAIL_BYTES = 64;
const LINE_FEED = 10;

/** Follows an answer's bytes to tell whether it arrived whole. */
export class AnswerMarks {
  readonly #isStream: boolean;
  readonly #expectedBytes: number | undefined;
  #bytes = 0;
  #lines = 0;
  #tail: Buffer = Buffer.alloc(0);

  constructor(response: { readonly headers: IncomingHttpHeaders }) {
    const type = response.headers["content-type"] ?? "";
    const length = response.headers["content-length"];
    this.#isStream = type.startsWith("text/event-stream");
    this.#expectedBytes = length === undefined ? undefined : Number(length);
  }

  note(chunk: Buffer): void {
    this.#bytes += chunk.length;
    if (!this.#isStream) {
      return;
    }
    this.#lines += chunk.filter((byte) => byte === LINE_FEED).length;
    const isLong = chunk.length >= TAIL_BYTES;
    this.#tail = isLong
      ? chunk.subarray(-TAIL_BYTES)
      : Buffer.concat([this.#tail, chunk]).subarray(-TAIL_BYTES);
  }

  /** Whether the end mark, or every announced byte, has arrived. */
  isWhole(): boolean {
    if (this.#isStream) {
      return this.#tail.includes(END_MARK);
    }
    return (
      this.#expectedBytes === undefined || this.#bytes === this.#expectedBytes
    );
  }

  /** Events of a streamed answer; two line feeds end each. */
  countTokens(): number {
    return Math.floor(this.#lines / 2);
  }
}
