/** Server-sent events of an upstream's response stream. */

/** One complete event, with its bytes as received. */
export type StreamEvent = {
  readonly bytes: Buffer;
  readonly id: number | undefined;
  /** Data lines joined by line feeds; undefined if there are none. */
  readonly data: string | undefined;
  readonly name: string | undefined;
};

/** Complete events of a chunk, and the bytes of an incomplete last event. */
export type SplitEvents = {
  readonly events: readonly StreamEvent[];
  readonly rest: Buffer;
};
