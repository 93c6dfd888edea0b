import type { z } from "zod";

/** Decodes JSON bytes; returns undefined if they do not match the schema. */
export function decodeJson<Value>(
  schema: z.ZodType<Value>,
  bytes: Buffer,
): Value | undefined {
  try {
    return schema.safeParse(JSON.parse(bytes.toString())).data;
  } catch {
    // Invalid JSON is treated like a value that does not match the schema.
    return undefined;
  }
}
