import type { InputLine, LineFault } from "./types.ts";

/** Parses one line of a job's input; returns a fault if the line is invalid. */
export function parseLine(text: string): InputLine | LineFault {
  const value = parseText(text);
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return { code: "invalid_json_line", message: "not a JSON object" };
  }
  const {
    custom_id: customId,
    method,
    url,
    body,
  } = value as Record<string, unknown>;
  if (typeof customId !== "string" || customId === "") {
    return { code: "missing_custom_id", message: "custom_id is missing" };
  }
  if (method !== undefined && method !== "POST") {
    return { code: "invalid_method", message: "method must be POST" };
  }
  if (typeof url !== "string") {
    return { code: "invalid_url", message: "url is missing" };
  }
  if (typeof body !== "object" || body === null || Array.isArray(body)) {
    return { code: "invalid_body", message: "body must be an object" };
  }
  return { customId, url, body: body as InputLine["body"] };
}

function parseText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
