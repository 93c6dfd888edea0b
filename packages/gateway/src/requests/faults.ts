import { drawRetryAfter } from "./draw_retry_after.ts";
import type { CallFault } from "./types.ts";

/** An unready instance is asked again after this long, in ms. */
const UNREADY_RETRY_MS = 300;

/** The errors that the gateway itself answers with. */
export const faults = {
  badRequest: (message: string): CallFault => ({
    status: 400,
    code: "bad_request",
    message,
    run: "not run",
  }),
  unknownKey: (): CallFault => ({
    status: 401,
    code: "unknown_key",
    message: "the key is not valid",
    run: "not run",
  }),
  notFound: (message: string): CallFault => ({
    status: 404,
    code: "not_found",
    message,
    run: "not run",
  }),
  tooLarge: (message: string): CallFault => ({
    status: 413,
    code: "too_large",
    message,
    run: "not run",
  }),
  headersTooLarge: (): CallFault => ({
    status: 431,
    code: "headers_too_large",
    message: "the headers are too large",
    run: "not run",
  }),
  overRate: (freeInMs: number): CallFault => ({
    status: 429,
    code: "over_rate",
    message: "the customer is over its rate",
    run: "not run",
    retryAfterMs: drawRetryAfter(freeInMs, Math.random()),
  }),
  noRoom: (message: string, freeInMs: number): CallFault => ({
    status: 503,
    code: "no_room",
    message,
    run: "not run",
    retryAfterMs: drawRetryAfter(freeInMs, Math.random()),
  }),
  unready: (message: string): CallFault => ({
    status: 503,
    code: "unready",
    message,
    run: "not run",
    retryAfterMs: drawRetryAfter(UNREADY_RETRY_MS, Math.random()),
  }),
  upstreamFailed: (message: string): CallFault => ({
    status: 502,
    code: "upstream_failed",
    message,
    run: "may have run",
  }),
  timedOut: (message: string, mayHaveRun: boolean): CallFault => ({
    status: 504,
    code: "timed_out",
    message,
    run: mayHaveRun ? "may have run" : "not run",
  }),
} as const;
