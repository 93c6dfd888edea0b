import type { IncomingMessage } from "node:http";
import { HOP_BY_HOP_HEADERS } from "./hop_by_hop_headers.ts";
import type { AnswerHead } from "./types.ts";

const OWN_HEADERS = ["x-request-id", "x-run", "x-boot-id", "set-cookie"];

/** Describes the head of an answer as the caller gets it. */
export function describeHead(
  { headers, statusCode }: IncomingMessage,
  isEventStream: boolean,
): AnswerHead {
  const named = (headers.connection ?? "")
    .split(",")
    .map((name) => name.trim().toLowerCase());
  const dropped = new Set([
    ...HOP_BY_HOP_HEADERS,
    ...OWN_HEADERS,
    ...named,
    ...(isEventStream ? ["content-length"] : []),
  ]);
  const kept = Object.entries(headers)
    .filter(([name]) => !dropped.has(name))
    .map(([name, value]) => [name, String(value)]);
  return { status: statusCode ?? 0, headers: Object.fromEntries(kept) };
}
