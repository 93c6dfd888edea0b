import type { PromptBlock } from "@gooseberryline/core";
import { decodeJson } from "../decode_json.ts";
import { memberRecord } from "../fleet/member_record.ts";
import { buildBlockId } from "./build_block_id.ts";
import { PROMPT_BLOCK_SCHEMA } from "./prompt_block_schema.ts";

/** Within the prefix of the instances, so that one watch follows both. */
const PREFIX = `${memberRecord.prefix}blocked/`;

/** Keys and encoding of the store records of blocked prompt parts. */
export const blockRecord = {
  prefix: PREFIX,
  buildKey: (block: PromptBlock): string => `${PREFIX}${buildBlockId(block)}`,
  /** Returns undefined for a key of another record. */
  parseKey: (key: string): string | undefined =>
    key.startsWith(PREFIX) ? key.slice(PREFIX.length) : undefined,
  encode: (block: PromptBlock): Buffer => Buffer.from(JSON.stringify(block)),
  /** Returns undefined for a value that is not a block. */
  decode: (value: Buffer): PromptBlock | undefined =>
    decodeJson(PROMPT_BLOCK_SCHEMA, value),
} as const;
