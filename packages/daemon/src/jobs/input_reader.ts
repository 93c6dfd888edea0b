import { parseLine } from "./parse_line.ts";
import type { SharedBlobs } from "./shared_blobs.ts";
import type { InputLine } from "./types.ts";

const OFFSET_BYTES = 8;
const BLOCK_OFFSETS = 8_192;

/** Reads single items of a job's input by the offsets of their lines. */
export class InputReader {
  readonly #blobs: SharedBlobs;

  constructor(blobs: SharedBlobs) {
    this.#blobs = blobs;
  }

  /** The name of the file of offsets that belongs to an input file. */
  static nameIndex(fileId: string): string {
    return `files/${fileId}.index`;
  }

  /** Encodes the offsets of all lines, and the end of the last one. */
  static async *encodeOffsets(
    offsets: readonly number[],
    endByte: number,
  ): AsyncIterable<Buffer> {
    const all = [...offsets, endByte];
    const blocks = Math.ceil(all.length / BLOCK_OFFSETS);
    yield* Array.from({ length: blocks }, (_, at) => {
      const part = all.slice(at * BLOCK_OFFSETS, (at + 1) * BLOCK_OFFSETS);
      const bytes = Buffer.alloc(part.length * OFFSET_BYTES);
      part.forEach((offset, n) => {
        bytes.writeDoubleLE(offset, n * OFFSET_BYTES);
      });
      return bytes;
    });
  }

  /** Reads the item at `index`; rejects where no instance has the input. */
  async read(fileId: string, index: number): Promise<InputLine> {
    const indexName = InputReader.nameIndex(fileId);
    const dataName = `files/${fileId}.data`;
    const hasBoth =
      (await this.#blobs.ensure(indexName)) &&
      (await this.#blobs.ensure(dataName));
    if (!hasBoth) {
      throw new Error(`no instance in reach holds ${fileId}`);
    }
    const { folder } = this.#blobs;
    const at = index * OFFSET_BYTES;
    const ends = await folder.readRange(indexName, at, 2 * OFFSET_BYTES);
    const from = ends.readDoubleLE(0);
    const to = ends.readDoubleLE(OFFSET_BYTES);
    const bytes = await folder.readRange(dataName, from, to - from);
    const [text = ""] = bytes.toString().split("\n");
    const parsed = parseLine(text);
    if ("code" in parsed) {
      throw new Error(`item ${index} of ${fileId}: ${parsed.message}`);
    }
    return parsed;
  }
}
