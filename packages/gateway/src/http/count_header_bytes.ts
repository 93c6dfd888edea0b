/** A colon, a space and the line break. */
const SEPARATOR_BYTES_PER_LINE = 4;

/** Counts the bytes of headers, given as alternating names and values. */
export function countHeaderBytes(rawHeaders: readonly string[]): number {
  const textBytes = rawHeaders.reduce((sum, part) => sum + part.length, 0);
  return textBytes + (rawHeaders.length / 2) * SEPARATOR_BYTES_PER_LINE;
}
