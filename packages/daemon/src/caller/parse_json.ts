import { HttpRefusal } from "./http_refusal.ts";

/**
 * Parses a request body as a JSON object; throws a refusal for anything else.
 */
export function parseJson(body: Buffer): Readonly<Record<string, unknown>> {
  const value = parseText(body.toString());
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw new HttpRefusal(400, "the body must be a JSON object", {
      code: "invalid_json",
      step: "parse",
    });
  }
  return value as Readonly<Record<string, unknown>>;
}

function parseText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new HttpRefusal(400, `invalid JSON: ${(error as Error).message}`, {
      code: "invalid_json",
      step: "parse",
    });
  }
}
