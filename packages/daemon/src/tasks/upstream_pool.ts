import { type ClientRequest, request } from "node:http";
import { request as requestTls } from "node:https";
import { ConnectionPool } from "./connection_pool.ts";
import type { AttemptOrder } from "./types.ts";

const IDLE_TIMEOUT_MS = 4_000;

/** Opens requests to upstreams, on pooled connections where that is safe. */
export class UpstreamPool {
  readonly #connections = new ConnectionPool(IDLE_TIMEOUT_MS);

  /**
   * Opens a request. A non-idempotent call gets a new connection, because a
   * pooled one may fail without showing whether the call ran.
   */
  open(order: AttemptOrder): ClientRequest {
    const { call, upstreamUrl, attemptId } = order;
    const base = new URL(upstreamUrl);
    const options = {
      method: call.method,
      path: `${base.pathname.replace(/\/$/, "")}${call.path}`,
      host: base.hostname.replace(/^\[|\]$/g, ""),
      port: base.port,
      headers: buildHeaders(order, attemptId),
      agent:
        call.isIdempotent === false
          ? false
          : this.#connections.find(base.origin),
    };
    return base.protocol === "https:" ? requestTls(options) : request(options);
  }

  /** Closes the idle connections to an upstream. */
  closeIdle(upstreamUrl: string): void {
    this.#connections.closeIdle(new URL(upstreamUrl).origin);
  }

  stop(): void {
    this.#connections.stop();
  }
}

function buildHeaders(
  { call }: AttemptOrder,
  attemptId: string,
): Record<string, string> {
  const hasBody = call.body.length > 0 || call.method === "POST";
  return {
    ...call.headers,
    "x-request-id": attemptId,
    ...(hasBody ? { "content-length": String(call.body.length) } : {}),
  };
}
