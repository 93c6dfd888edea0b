import { z } from "zod";

/**
 * Builds the schema of an object whose keys are names from elsewhere. Any name is
 * kept, and none is found that the object doesn't have: what it gives has no
 * prototype.
 */
export function buildRecordSchema<Value>(
  value: z.ZodType<Value>,
): z.ZodType<Readonly<Record<string, Value>>> {
  const entries = z.array(z.tuple([z.string(), value]));
  return z
    .preprocess(
      (raw) => (isObject(raw) ? Object.entries(raw) : undefined),
      entries,
    )
    .transform((list) =>
      Object.assign(Object.create(null), Object.fromEntries(list)),
    );
}

/** Arrays are no objects here, as their entries would pass for an object's. */
function isObject(raw: unknown): raw is object {
  return typeof raw === "object" && raw !== null && !Array.isArray(raw);
}
