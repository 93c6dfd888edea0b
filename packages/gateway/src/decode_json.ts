import type { z } from "zod";

/** Decodes JSON of a shape; undefined for bytes that are none of it. */
export function decodeJson<Value>(
  schema: z.ZodType<Value>,
  bytes: Buffer,
): Value | undefined {
  try {
    return schema.safeParse(JSON.parse(bytes.toString())).data;
  } catch {
    // Not JSON: the same as a value of another shape.
    return undefined;
  }
}
