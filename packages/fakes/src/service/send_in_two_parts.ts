import type { ServerResponse } from "node:http";

/** Sends a text as the body of an answer, its last character by itself. */
export function sendInTwoParts(
  res: ServerResponse,
  text: string,
  head: Readonly<Record<string, string>>,
  hasLength: boolean,
): void {
  const length = { "content-length": String(text.length) };
  res.writeHead(200, { ...head, ...(hasLength ? length : {}) });
  res.write(text.slice(0, -1));
  res.end(text.slice(-1));
}
