import type { Agent as HttpAgent } from "node:http";
import type { Agent as HttpsAgent } from "node:https";
import type { Duplex } from "node:stream";
import type { ConnectionPool } from "@gooseberryline/daemon";
import type { ExchangeOptions } from "./types.ts";

type SharingOptions = Pick<
  ExchangeOptions,
  "isIdempotent" | "requestId" | "lastConnection"
>;

/**
 * Chooses the pooled connections to an upstream, or false for a new one, which is
 * closed after the answer. If the connection of the request's last run is idle, it is
 * closed, in case the upstream takes no more connections.
 */
export function chooseAgent(
  origin: string,
  { isIdempotent, requestId, lastConnection }: SharingOptions,
  pool: ConnectionPool,
): HttpAgent | HttpsAgent | false {
  // A request without an id could not tell its answer from another's.
  if (!isIdempotent || requestId === undefined) {
    return false;
  }
  const isLast = (connection: Duplex): boolean =>
    lastConnection?.is(connection) === true;
  return pool.closeIdle(origin, isLast) > 0 ? false : pool.find(origin);
}
