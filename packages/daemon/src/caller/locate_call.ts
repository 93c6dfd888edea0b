import { HttpRefusal } from "./http_refusal.ts";

const ROUTE = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const UNSAFE = /[\p{Cc}/\\]/u;
const DOT_SEGMENTS: readonly string[] = [".", ".."];

/** The service that a call is for, and what to ask of it. */
export type LocatedCall = {
  readonly service: string;
  /** Path at the service with the query as it was sent. */
  readonly path: string;
};

/**
 * Locates the call of `/services/{service}/{path}`. A segment that could be
 * read as another path by the service is refused, not rewritten.
 */
export function locateCall(url: string): LocatedCall {
  const found = ROUTE.exec(url);
  if (found === null) {
    throw new HttpRefusal(404, "no such route", { code: "unknown_route" });
  }
  const [, service = "", path = "/", query = ""] = found;
  path.split("/").slice(1).forEach(checkSegment);
  return { service: decodeSegment(service), path: `${path}${query}` };
}

function checkSegment(segment: string): void {
  const text = decodeSegment(segment);
  if (DOT_SEGMENTS.includes(text) || UNSAFE.test(text)) {
    throw refusePath();
  }
}

function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    throw refusePath();
  }
}

function refusePath(): HttpRefusal {
  return new HttpRefusal(400, "path: a segment is not allowed", {
    code: "invalid_path",
    step: "parse",
  });
}
