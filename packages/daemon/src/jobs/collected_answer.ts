import type { AnswerSink } from "../tasks/types.ts";

/** Buffers the upstream's response to a batch item. */
export class CollectedAnswer {
  readonly #chunks: Buffer[] = [];
  readonly sink: AnswerSink = {
    writeHead: () => undefined,
    write: (chunk) => {
      this.#chunks.push(chunk);
      return true;
    },
    waitForDrain: () => Promise.resolve(),
  };

  readJson(): unknown {
    const text = Buffer.concat(this.#chunks).toString();
    try {
      return JSON.parse(text);
    } catch {
      return text;
    }
  }
}
