import type { CrashBlock } from "@gooseberryline/core";
import { drawRetryAfterMs } from "./draw_retry_after_ms.ts";
import type { CallError } from "./types.ts";

/** Retry delay for callers of an instance that is not ready, in ms. */
const NOT_READY_RETRY_MS = 300;
/**
 * Retry delay for callers of an instance that may be behind, in ms: what is unknown
 * here may be known elsewhere at once, and costs little if it is not.
 */
const UNCERTAIN_RETRY_MS = 300;

/** What is wrong with a request, or stands against it. */
type BadRequestCode = "bad_call" | "bad_job" | "no_job_id" | "job_id_taken";
type NotFoundCode = "no_route" | "no_job" | "no_item";

/** Creates the errors that the gateway itself returns to callers. */
export const callErrors = {
  badRequest: (code: BadRequestCode, message: string): CallError => ({
    status: 400,
    code,
    message,
    run: "not run",
  }),
  unknownKey: (): CallError => ({
    status: 401,
    code: "unknown_key",
    message: "the key is not valid",
    run: "not run",
  }),
  notFound: (code: NotFoundCode, message: string): CallError => ({
    status: 404,
    code,
    message,
    run: "not run",
  }),
  tooLarge: (message: string): CallError => ({
    status: 413,
    code: "too_large",
    message,
    run: "not run",
  }),
  headersTooLarge: (): CallError => ({
    status: 431,
    code: "headers_too_large",
    message: "the headers are too large",
    run: "not run",
  }),
  rateLimited: (availableInMs: number): CallError => ({
    status: 429,
    code: "over_rate",
    message: "the customer is over its rate",
    run: "not run",
    retryAfterMs: drawRetryAfterMs(availableInMs, Math.random()),
  }),
  backlogFull: (availableInMs: number): CallError => ({
    status: 429,
    code: "backlog_full",
    message: "the customer's unfinished items are at their limit",
    run: "not run",
    retryAfterMs: drawRetryAfterMs(availableInMs, Math.random()),
  }),
  backlogTooSmall: (): CallError => ({
    status: 429,
    code: "over_backlog_limit",
    message: "the job alone exceeds the limit on unfinished items",
    run: "not run",
  }),
  noCapacity: (message: string, availableInMs: number): CallError => ({
    status: 503,
    code: "no_room",
    message,
    run: "not run",
    retryAfterMs: drawRetryAfterMs(availableInMs, Math.random()),
  }),
  /** `returnInMs` is when there will be room, spread over callers already. */
  roomLater: (message: string, returnInMs: number): CallError => ({
    status: 503,
    code: "room_later",
    message,
    run: "not run",
    retryAfterMs: drawRetryAfterMs(returnInMs, 0),
  }),
  notReady: (message: string): CallError => ({
    status: 503,
    code: "unready",
    message,
    run: "not run",
    retryAfterMs: drawRetryAfterMs(NOT_READY_RETRY_MS, Math.random()),
  }),
  /** This instance holds as much for callers as it may. */
  crowded: (): CallError => ({
    status: 503,
    code: "crowded",
    message: "this instance has no room for the request",
    run: "not run",
    retryAfterMs: drawRetryAfterMs(NOT_READY_RETRY_MS, Math.random()),
  }),
  /** The rest of the request has not come. */
  stalled: (): CallError => ({
    status: 408,
    code: "stalled",
    message: "nothing of the request came for too long",
    run: "not run",
  }),
  /** What is asked for may be in a newer configuration than the one known. */
  configUncertain: (): CallError => ({
    status: 503,
    code: "config_uncertain",
    message: "the configuration known here may be out of date",
    run: "not run",
    retryAfterMs: drawRetryAfterMs(UNCERTAIN_RETRY_MS, Math.random()),
  }),
  /** The stream can't go on, but its request may be sent as a new one. */
  streamOver: (): CallError => ({
    status: 503,
    code: "stream_over",
    message: "it is not known which version began the stream",
    run: "not run",
  }),
  /** The request has crashed upstreams, so no retry can help. */
  blocked: (
    { kind }: CrashBlock,
    message: string,
    mayHaveRun: boolean,
  ): CallError => ({
    status: 400,
    code: `${kind}_blocked`,
    message,
    run: mayHaveRun ? "may have run" : "not run",
  }),
  upstreamFailed: (message: string): CallError => ({
    status: 502,
    code: "upstream_failed",
    message,
    run: "may have run",
  }),
  timedOut: (message: string, mayHaveRun: boolean): CallError => ({
    status: 504,
    code: "timed_out",
    message,
    run: mayHaveRun ? "may have run" : "not run",
  }),
} as const;
