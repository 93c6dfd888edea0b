import { type ClientRequest, request as sendRequest } from "node:http";
import type { ConnectionPool } from "@gooseberryline/daemon";
import { chooseAgent } from "./choose_agent.ts";
import type { ExchangeOptions } from "./types.ts";

/**
 * Opens the request of an exchange, whose body is still to be sent. Throws if its
 * message can't be built.
 */
export function openRequest(
  options: ExchangeOptions,
  pool: ConnectionPool,
): ClientRequest {
  const { address, method, path, body } = options;
  const headers = options.buildHeaders();
  const url = new URL(`http://${address}`);
  return sendRequest({
    method,
    path,
    host: url.hostname,
    port: url.port,
    headers: { ...headers, ...describeBody(method, body) },
    agent: chooseAgent(url.origin, options, pool),
  });
}

function describeBody(method: string, body: Buffer): Record<string, string> {
  const hasBody = body.length > 0 || method === "POST" || method === "PUT";
  return hasBody ? { "content-length": String(body.length) } : {};
}
