/** Types of answers, as they come from upstreams. */

/** The head of an answer as it was received. */
export type HeadCheck = {
  /** Why it is no head; undefined if it is one. */
  readonly fault: string | undefined;
  /** The bytes that follow it. */
  readonly rest: Buffer;
};
