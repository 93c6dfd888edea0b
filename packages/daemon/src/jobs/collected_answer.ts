import type { AnswerSink } from "../tasks/types.ts";

/** Collects the answer of a batch item. */
export class CollectedAnswer {
  readonly #chunks: Buffer[] = [];
  readonly sink: AnswerSink = {
    writeHead: () => undefined,
    write: (chunk) => {
      this.#chunks.push(chunk);
      return true;
    },
    waitForRoom: () => Promise.resolve(),
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
