import { dropEmptyLines } from "./drop_empty_lines.ts";
import type { HeadCheck } from "./types.ts";

const LINE_END = "\r\n";
const HEAD_END = "\r\n\r\n";
const STATUS_LINE = /^[^\r\n]+$/;
/** A name of token characters, a colon, a value without control characters. */
const FIELD_LINE = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*$/;
/** A tab behind the codings hides them from some parsers, but from no reader of fields. */
const HIDDEN_CODING = /^transfer-encoding:.*\t *$/i;
const NO_BYTES: Buffer = Buffer.alloc(0);

/**
 * Checks the head of an answer, once a parser says that it has ended, by the bytes that
 * came. Parsers differ: some end a head at a line that begins with a control character,
 * or join a line that begins with a blank to the one before, and neither shows in the
 * fields that they give.
 */
export function checkAnswerHead(received: Buffer): HeadCheck {
  const bytes = dropEmptyLines(received);
  const end = bytes.indexOf(HEAD_END, 0, "latin1");
  if (end === -1) {
    return { fault: "the answer's head has no end in order", rest: NO_BYTES };
  }
  const [statusLine = "", ...fieldLines] = bytes
    .toString("latin1", 0, end)
    .split(LINE_END);
  const isHead =
    STATUS_LINE.test(statusLine) &&
    fieldLines.every(
      (line) => FIELD_LINE.test(line) && !HIDDEN_CODING.test(line),
    );
  return {
    fault: isHead ? undefined : "a line of the answer's head is no field",
    rest: bytes.subarray(end + HEAD_END.length),
  };
}
