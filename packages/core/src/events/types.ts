/** Server-sent events of an upstream's stream. */

/** One whole event, with its bytes as they came. */
export type StreamEvent = {
  readonly bytes: Buffer;
  readonly id: number | undefined;
  /** Lines of its data, joined by line feeds; undefined without any. */
  readonly data: string | undefined;
  readonly name: string | undefined;
};

/** Whole events of a chunk, and the bytes of one that is still open. */
export type SplitEvents = {
  readonly events: readonly StreamEvent[];
  readonly rest: Buffer;
};
