/** Types of the question where a request or an item would go. */

/** What is asked: a request of a caller, or an item of a job. */
export type PlaceQuestion = {
  readonly host: string;
  readonly path: string;
  readonly kind: "request" | "item";
  /** Decides the service of a route with several, and the upstream. */
  readonly requestId: string;
  /** The prompt's shared prefix, as the caller names it. */
  readonly prompt: string | undefined;
  /** Time that the caller waits, in ms; undefined if it doesn't say. */
  readonly deadlineMs: number | undefined;
};
