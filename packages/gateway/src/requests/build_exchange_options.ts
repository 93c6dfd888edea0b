import type { UpstreamEntry } from "@gooseberryline/core";
import type { CallDialect } from "../dialect/types.ts";
import type { ExchangeOptions } from "../exchange/types.ts";
import { REQUESTS } from "./constants.ts";
import type { AdmittedCall } from "./types.ts";

type ExchangeOptionsParts = {
  readonly upstream: UpstreamEntry;
  /** Expected wait in the upstream's queue, in ms. */
  readonly waitMs: number;
  /** Time until the request's deadline, in ms. */
  readonly leftMs: number;
  /** Upstreams that may have run it before. */
  readonly runs: number;
  /** Last event that the caller has. */
  readonly lastEventId: number | undefined;
};

/**
 * Builds what an upstream is sent, and how long its silence is borne: where
 * another upstream may go on, only as long as that still helps the caller.
 */
export function buildExchangeOptions(
  call: AdmittedCall,
  dialect: CallDialect,
  { upstream, waitMs, leftMs, runs, lastEventId }: ExchangeOptionsParts,
): ExchangeOptions {
  const { head, route, method, path, headers, body } = call;
  const canMove = route.isIdempotent && runs + 1 < route.maxAttempts;
  const slackMs = route.objectiveMs * REQUESTS.HEAD_TIMEOUT_SHARE;
  const quickMs = waitMs * 2 + Math.max(REQUESTS.MIN_HEAD_TIMEOUT_MS, slackMs);
  return {
    address: upstream.address,
    method,
    path,
    body,
    headers: dialect.buildHeaders(headers, {
      requestId: head.requestId,
      upstreamId: upstream.id,
      customer: call.customer?.name,
      leftMs: Math.round(leftMs),
      lastEventId,
    }),
    requestId: head.requestId,
    isIdempotent: route.isIdempotent,
    headWithinMs: canMove ? Math.min(leftMs, quickMs) : leftMs,
    pauseWithinMs:
      canMove && route.isResumable
        ? REQUESTS.RESUMABLE_STALL_TIMEOUT_MS
        : REQUESTS.STALL_TIMEOUT_MS,
  };
}
