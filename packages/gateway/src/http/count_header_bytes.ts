/** A colon, a space and the line's end. */
const SEPARATOR_BYTES_PER_LINE = 4;

/** Counts the bytes of headers, given as names and values in turn. */
export function countHeaderBytes(rawHeaders: readonly string[]): number {
  const text = rawHeaders.reduce((sum, part) => sum + part.length, 0);
  return text + (rawHeaders.length / 2) * SEPARATOR_BYTES_PER_LINE;
}
