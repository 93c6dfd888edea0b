import type { IncomingHttpHeaders } from "node:http";
import { HOP_BY_HOP_HEADERS } from "../tasks/hop_by_hop_headers.ts";

const EXCLUDED_HEADERS = [
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
 * Builds the headers that are forwarded to a plain service. Removes credentials
 * and cookies, connection-specific headers, headers that this system interprets
 * or sets itself, and any header whose value contains the tenant key.
 */
export function buildForwardedHeaders(
  headers: IncomingHttpHeaders,
  key: string | undefined,
): Readonly<Record<string, string>> {
  const connectionHeaders = (headers.connection ?? "")
    .split(",")
    .map((name) => name.trim().toLowerCase());
  const excluded = new Set([
    ...HOP_BY_HOP_HEADERS,
    ...EXCLUDED_HEADERS,
    ...connectionHeaders,
  ]);
  const forwarded = Object.entries(headers)
    .filter(([name]) => !excluded.has(name))
    .map(([name, value]) => [name, String(value)] as const)
    .filter(([, value]) => key === undefined || !value.includes(key));
  return Object.fromEntries(forwarded);
}
