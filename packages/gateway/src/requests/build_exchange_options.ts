import type { UpstreamEntry } from "@gooseberryline/core";
import type { CallDialect } from "../dialect/types.ts";
import type { ExchangeOptions } from "../exchange/types.ts";
import { REQUESTS } from "./constants.ts";
import type { AdmittedCall } from "./types.ts";

type ExchangeOptionsParts = {
  readonly upstream: UpstreamEntry;
  /** Expected wait in the upstream's queue, in ms. */
  readonly waitMs: number;
  /** Time remaining until the request's deadline, in ms. */
  readonly leftMs: number;
  /** Number of earlier attempts that may have run the request. */
  readonly runs: number;
  /** Id of the last event that the caller has received. */
  readonly lastEventId: number | undefined;
};

/**
 * Builds the request to an upstream and its timeouts, which are short if the
 * request may be retried at another upstream, so that the caller's latency
 * objective can still be met.
 */
export function buildExchangeOptions(
  call: AdmittedCall,
  dialect: CallDialect,
  { upstream, waitMs, leftMs, runs, lastEventId }: ExchangeOptionsParts,
): ExchangeOptions {
  const { head, route, method, path, headers, body } = call;
  const canRetry = route.isIdempotent && runs + 1 < route.maxAttempts;
  const objectiveShareMs = route.objectiveMs * REQUESTS.HEAD_TIMEOUT_SHARE;
  const retryTimeoutMs =
    waitMs * 2 + Math.max(REQUESTS.MIN_HEAD_TIMEOUT_MS, objectiveShareMs);
  return {
    address: upstream.address,
    method,
    path,
    body,
    buildHeaders: () =>
      dialect.buildHeaders(headers, {
        requestId: head.requestId,
        upstreamId: upstream.id,
        customer: call.customer?.name,
        remainingMs: Math.round(leftMs),
        lastEventId,
      }),
    requestId: head.requestId,
    isIdempotent: route.isIdempotent,
    headTimeoutMs: canRetry ? Math.min(leftMs, retryTimeoutMs) : leftMs,
    stallTimeoutMs:
      canRetry && route.isResumable
        ? REQUESTS.RESUMABLE_STALL_TIMEOUT_MS
        : REQUESTS.STALL_TIMEOUT_MS,
  };
}
