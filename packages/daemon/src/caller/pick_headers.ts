import type { IncomingHttpHeaders } from "node:http";
import { HOP_BY_HOP_HEADERS } from "../tasks/hop_by_hop_headers.ts";

const OWN_HEADERS = [
  "authorization",
  "cookie",
  "host",
  "content-length",
  "expect",
  "x-deadline-ms",
  "x-gooseberryline-profile",
  "x-request-id",
];

/**
 * Picks the headers that go on to a plain service: neither the tenant key
 * under any name, nor cookies, nor what belongs to the caller's connection.
 */
export function pickHeaders(
  headers: IncomingHttpHeaders,
  key: string | undefined,
): Readonly<Record<string, string>> {
  const named = (headers.connection ?? "")
    .split(",")
    .map((name) => name.trim().toLowerCase());
  const dropped = new Set([...HOP_BY_HOP_HEADERS, ...OWN_HEADERS, ...named]);
  const kept = Object.entries(headers)
    .filter(([name]) => !dropped.has(name))
    .map(([name, value]) => [name, String(value)] as const)
    .filter(([, value]) => key === undefined || !value.includes(key));
  return Object.fromEntries(kept);
}
