import { parseLine } from "./parse_line.ts";
import type { SharedBlobs } from "./shared_blobs.ts";
import type { InputLine } from "./types.ts";

const OFFSET_BYTES = 8;
const BLOCK_OFFSETS = 8_192;

/**
 * Reads individual items of a job's input file, using an index of line offsets.
 */
export class InputReader {
  readonly #blobs: SharedBlobs;

  constructor(blobs: SharedBlobs) {
    this.#blobs = blobs;
  }

  /**
   * Returns the name of the index file that stores an input file's line
   * offsets.
   */
  static formatIndexName(fileId: string): string {
    return `files/${fileId}.index`;
  }

  /**
   * Encodes the start offset of each line and the end offset of the last one.
   */
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

  /**
   * Reads the item at `index`; rejects if no reachable instance has the input.
   */
  async read(fileId: string, index: number): Promise<InputLine> {
    const indexName = InputReader.formatIndexName(fileId);
    const dataName = `files/${fileId}.data`;
    const hasBoth =
      (await this.#blobs.ensure(indexName)) &&
      (await this.#blobs.ensure(dataName));
    if (!hasBoth) {
      throw new Error(`no instance in reach holds ${fileId}`);
    }
    const { folder } = this.#blobs;
    const at = index * OFFSET_BYTES;
    const bounds = await folder.readRange(indexName, at, 2 * OFFSET_BYTES);
    const startByte = bounds.readDoubleLE(0);
    const endByte = bounds.readDoubleLE(OFFSET_BYTES);
    const bytes = await folder.readRange(
      dataName,
      startByte,
      endByte - startByte,
    );
    const [text = ""] = bytes.toString().split("\n");
    const parsed = parseLine(text);
    if ("code" in parsed) {
      throw new Error(`item ${index} of ${fileId}: ${parsed.message}`);
    }
    return parsed;
  }
}
