import { buildCheckedRecordSchema } from "../build_checked_record_schema.ts";

/** Schema of the requests that an instance holds, by service and customer. */
export const DEMAND_SCHEMA = buildCheckedRecordSchema(
  (value): value is Readonly<Record<string, number>> =>
    typeof value === "object" &&
    value !== null &&
    Object.values(value).every((count) => Number.isFinite(count) && count >= 0),
);
