/** Bytes that a value may hold; blanks at its ends would be lost on the way. */
const HEADER_VALUE =
  /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;

/**
 * Returns whether a header can carry a text, and its reader finds it unchanged: one
 * byte a character, no control characters, no blanks at the ends, not empty.
 */
export function isHeaderValue(text: string): boolean {
  return HEADER_VALUE.test(text);
}
