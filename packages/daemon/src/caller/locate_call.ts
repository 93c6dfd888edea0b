import { HttpRefusal } from "./http_refusal.ts";

const ROUTE = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const UNSAFE = /[\p{Cc}/\\]/u;
const DOT_SEGMENTS: readonly string[] = [".", ".."];

/** The target service of a call and the path to request from it. */
export type LocatedCall = {
  readonly service: string;
  /** Path at the service, with the query string unchanged. */
  readonly path: string;
};

/**
 * Parses a URL of the form `/services/{service}/{path}`. A segment that the
 * service might resolve to another path is refused rather than rewritten.
 */
export function locateCall(url: string): LocatedCall {
  const match = ROUTE.exec(url);
  if (match === null) {
    throw new HttpRefusal(404, "no such route", { code: "unknown_route" });
  }
  const [, service = "", path = "/", query = ""] = match;
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
