import { METADATA, type VersionHistory } from "@gooseberryline/core";
import { z } from "zod";
import { buildRecordSchema } from "../build_record_schema.ts";
import { decodeJson } from "../decode_json.ts";
import { memberRecord } from "../fleet/member_record.ts";

/** Within the prefix of the instances, so that one watch follows both. */
const PREFIX = `${memberRecord.prefix}versions/`;

const SCHEMA: z.ZodType<VersionHistory> = z.object({
  service: z.string(),
  sinceMs: z.number(),
  versions: buildRecordSchema(z.number().nullable()),
});

/** Keys and encoding of the store records of a service's versions. */
export const historyRecord = {
  buildKey: (service: string): string => `${PREFIX}${service}`,
  /** Whether the store can hold the record of a service of this name. */
  canHold: (service: string): boolean =>
    Buffer.byteLength(PREFIX + service) <= METADATA.MAX_KEY_BYTES,
  /** Returns the service; undefined if the key is of another record. */
  parseKey: (key: string): string | undefined =>
    key.startsWith(PREFIX) ? key.slice(PREFIX.length) : undefined,
  encode: (history: VersionHistory): Buffer =>
    Buffer.from(JSON.stringify(history)),
  /** Returns undefined for a value that is not such a record. */
  decode: (value: Buffer): VersionHistory | undefined =>
    decodeJson(SCHEMA, value),
} as const;
