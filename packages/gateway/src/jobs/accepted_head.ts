/** Head of the answer to a job that stands, whether it is new or a repeat. */
export const ACCEPTED_HEAD = {
  status: 202,
  headers: {},
  rawHeaders: [],
  isEventStream: false,
  isCloseDelimited: false,
} as const;
