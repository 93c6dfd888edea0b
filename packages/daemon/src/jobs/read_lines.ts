/** One line of a file, without its line feed. */
export type Line = {
  /** Line number, starting at 1. */
  readonly number: number;
  /** Byte offset at which the line starts. */
  readonly offset: number;
  readonly bytes: Buffer;
  /** Whether the line exceeds the limit; `bytes` may then be truncated. */
  readonly isTooLong: boolean;
};

const LINE_FEED = 10;

/**
 * Splits a stream into lines, buffering at most about one line of `maxBytes`.
 * Ends early at a line that has no end within the limit.
 */
export async function* readLines(
  content: AsyncIterable<Buffer>,
  maxBytes: number,
): AsyncIterable<Line> {
  const at = { number: 1, offset: 0, rest: Buffer.alloc(0) as Buffer };
  for await (const chunk of content) {
    const block =
      at.rest.length === 0 ? chunk : Buffer.concat([at.rest, chunk]);
    const ends = findLineFeeds(block);
    const lines = ends.map((end, n): Line => {
      const from = n === 0 ? 0 : (ends[n - 1] ?? 0) + 1;
      return {
        number: at.number + n,
        offset: at.offset + from,
        bytes: block.subarray(from, end),
        isTooLong: end - from > maxBytes,
      };
    });
    yield* lines;
    const consumedBytes = (ends.at(-1) ?? -1) + 1;
    at.number += ends.length;
    at.offset += consumedBytes;
    at.rest = block.subarray(consumedBytes);
    if (at.rest.length > maxBytes) {
      break;
    }
  }
  if (at.rest.length > 0) {
    yield {
      number: at.number,
      offset: at.offset,
      bytes: at.rest,
      isTooLong: at.rest.length > maxBytes,
    };
  }
}

function findLineFeeds(block: Buffer): readonly number[] {
  const found: number[] = [];
  let at = block.indexOf(LINE_FEED);
  while (at >= 0) {
    found.push(at);
    at = block.indexOf(LINE_FEED, at + 1);
  }
  return found;
}
