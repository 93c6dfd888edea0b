import type { FleetMember, StreamOrigin } from "@gooseberryline/core";
import type { ExchangeOptions } from "../exchange/types.ts";
import { REQUESTS } from "../requests/constants.ts";
import type { AdmittedCall } from "../requests/types.ts";
import { PASSING } from "./constants.ts";
import { passedRequest } from "./passed_request.ts";

/** What a peer has to know of a request beyond the call. */
export type PassWork = {
  readonly peer: FleetMember;
  /** Id of the passed-on request, which no other has. */
  readonly passId: string;
  /** Time since the request arrived, and until its deadline, in ms. */
  readonly spentMs: number;
  readonly leftMs: number;
  /** Number of earlier attempts that may have run the request. */
  readonly runs: number;
  readonly lastEventId: number | undefined;
  readonly origin: StreamOrigin | undefined;
};

/** Builds the message to a peer, with timeouts that leave time for another. */
export function buildPassOptions(
  call: AdmittedCall,
  { peer, passId, spentMs, leftMs, runs, lastEventId, origin }: PassWork,
): ExchangeOptions {
  const { route, service, customer, method, path, body } = call;
  // The key is not passed on: the customer has been admitted.
  const { authorization: _key, cookie: _cookie, ...headers } = call.headers;
  const canRetry = route.isIdempotent && runs + 1 < route.maxAttempts;
  const message = passedRequest.encode({
    route: route.name,
    service,
    customer: customer?.name,
    host: call.headers.host ?? "",
    method,
    path,
    headers,
    body,
    attempts: Math.max(1, route.maxAttempts - runs),
    spentMs,
    leftMs,
    lastEventId,
    origin,
  });
  return {
    address: `${peer.address}:${peer.relayPort}`,
    method: "POST",
    path: PASSING.PATH,
    buildHeaders: () => ({ [PASSING.ID_HEADER]: passId }),
    body: message,
    requestId: passId,
    isIdempotent: route.isIdempotent,
    headTimeoutMs: canRetry ? leftMs * PASSING.HEAD_TIMEOUT_SHARE : leftMs,
    stallTimeoutMs:
      canRetry && route.isResumable
        ? PASSING.STALL_TIMEOUT_MS
        : REQUESTS.STALL_TIMEOUT_MS,
  };
}
