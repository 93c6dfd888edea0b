import type { CrashBlock } from "@gooseberryline/core";
import { decodeJson } from "../decode_json.ts";
import { memberRecord } from "../fleet/member_record.ts";
import { buildBlockId } from "./build_block_id.ts";
import { CRASH_BLOCK_SCHEMA } from "./crash_block_schema.ts";

/** Within the prefix of the instances, so that one watch follows both. */
const PREFIX = `${memberRecord.prefix}blocked/`;

/** Keys and encoding of the store records of blocks. */
export const blockRecord = {
  prefix: PREFIX,
  buildKey: (block: CrashBlock): string => `${PREFIX}${buildBlockId(block)}`,
  /** Returns undefined for a key of another record. */
  parseKey: (key: string): string | undefined =>
    key.startsWith(PREFIX) ? key.slice(PREFIX.length) : undefined,
  encode: (block: CrashBlock): Buffer => Buffer.from(JSON.stringify(block)),
  /** Returns undefined for a value that is not a block. */
  decode: (value: Buffer): CrashBlock | undefined =>
    decodeJson(CRASH_BLOCK_SCHEMA, value),
} as const;
