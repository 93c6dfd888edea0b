/** Types of answers, as they come from upstreams. */

/** The head of an answer as it was received. */
export type HeadCheck = {
  /** Why it is no head; undefined if it is one. */
  readonly fault: string | undefined;
  /** The bytes that follow it. */
  readonly rest: Buffer;
};

/** What decides how the body of an answer ends. */
export type AnswerFraming = {
  readonly method: string;
  readonly status: number;
  /** Values of the fields of these names, joined by commas if there are several. */
  readonly contentLength: string | undefined;
  readonly transferEncoding: string | undefined;
};

/**
 * How the body of an answer ends: there is none, its length has come, its last chunk
 * has come, or its connection has ended. A body whose codings aren't read is
 * `unreadable`.
 */
export type BodyEnd =
  | "none"
  | "length"
  | "chunks"
  | "connection"
  | "unreadable";
