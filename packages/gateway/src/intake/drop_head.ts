import type { IncomingMessage } from "node:http";

/**
 * Drops the headers of a request that won't be served: the runtime holds the request
 * until its connection has closed, and its head may be long.
 */
export function dropHead(req: IncomingMessage): void {
  req.rawHeaders = [];
  req.headers = {};
}
