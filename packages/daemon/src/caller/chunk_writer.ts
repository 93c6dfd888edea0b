import type { ServerResponse } from "node:http";

const LINE_END = "\r\n";
const HEX = 16;

/**
 * Writes body chunks of an answer whose headers have been sent. Each chunk is
 * copied into one buffer with its chunked-encoding frame: Node would issue a
 * gathered write of four parts, which costs more than the copy.
 */
export class ChunkWriter {
  readonly #res: ServerResponse;
  readonly #isFramed: boolean;

  constructor(res: ServerResponse) {
    this.#res = res;
    this.#isFramed = res.chunkedEncoding;
    res.chunkedEncoding = false;
  }

  write(chunk: Buffer): boolean {
    return this.#res.write(this.#isFramed ? buildFrame(chunk) : chunk);
  }

  /** Ends the answer; Node writes the terminating chunk. */
  end(chunk?: string): void {
    if (chunk !== undefined) {
      this.write(Buffer.from(chunk));
    }
    this.#res.chunkedEncoding = this.#isFramed;
    this.#res.end();
  }
}

function buildFrame(chunk: Buffer): Buffer {
  const size = chunk.length.toString(HEX);
  const start = size.length + LINE_END.length;
  const end = start + chunk.length;
  const frame = Buffer.allocUnsafe(end + LINE_END.length);
  frame.write(size + LINE_END, "latin1");
  chunk.copy(frame, start);
  frame.write(LINE_END, end, "latin1");
  return frame;
}
