/** Types of the listeners. */

/** Moments of a planned stop, on the monotonic clock, in ms. */
export type StopTimes = {
  /** Until then the platform may send new requests, not knowing of the stop. */
  readonly noticeEndMs: number;
  /** What is still in flight then is ended. */
  readonly endMs: number;
};
