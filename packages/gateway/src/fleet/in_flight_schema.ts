import type { InFlightWork } from "@gooseberryline/core";
import { buildCheckedRecordSchema } from "../build_checked_record_schema.ts";
import { holdsNumbers } from "./holds_numbers.ts";

/** Schema of the work in flight by upstream, as messages between instances tell it. */
export const IN_FLIGHT_SCHEMA = buildCheckedRecordSchema(
  (value): value is InFlightWork => holdsNumbers(value, ["online", "batch"]),
);
