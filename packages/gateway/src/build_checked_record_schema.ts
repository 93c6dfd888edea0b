import { z } from "zod";

/**
 * Builds the schema of an object as `buildRecordSchema` does, with a check of its
 * own for the values: each message of each peer is read by it. It takes over the
 * object that it is given.
 */
export function buildCheckedRecordSchema<Value>(
  isValue: (value: unknown) => value is Value,
): z.ZodType<Readonly<Record<string, Value>>> {
  return z.unknown().transform((raw, context) => {
    if (isTable(raw) && Object.values(raw).every(isValue)) {
      return Object.setPrototypeOf(raw, null);
    }
    context.addIssue("not an object of such values");
    return z.NEVER;
  });
}

/** Arrays are no tables, as their entries would pass for those of one. */
function isTable(raw: unknown): raw is Readonly<Record<string, unknown>> {
  return typeof raw === "object" && raw !== null && !Array.isArray(raw);
}
