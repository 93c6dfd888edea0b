import type { IncomingMessage } from "node:http";
import { HOP_BY_HOP_HEADERS } from "./hop_by_hop_headers.ts";
import type { AnswerHead } from "./types.ts";

const EXCLUDED_HEADERS = ["x-request-id", "x-run", "x-boot-id", "set-cookie"];

/**
 * Builds the status and headers of an answer that are relayed to the caller.
 */
export function describeHead(
  { headers, statusCode }: IncomingMessage,
  isEventStream: boolean,
): AnswerHead {
  const connectionHeaders = (headers.connection ?? "")
    .split(",")
    .map((name) => name.trim().toLowerCase());
  const excluded = new Set([
    ...HOP_BY_HOP_HEADERS,
    ...EXCLUDED_HEADERS,
    ...connectionHeaders,
    ...(isEventStream ? ["content-length"] : []),
  ]);
  const forwarded = Object.entries(headers)
    .filter(([name]) => !excluded.has(name))
    .map(([name, value]) => [name, String(value)]);
  return { status: statusCode ?? 0, headers: Object.fromEntries(forwarded) };
}
