import {
  METADATA,
  ROLLOUT_STEPS,
  type RolloutRecord,
} from "@gooseberryline/core";
import { z } from "zod";
import { decodeJson } from "../decode_json.ts";
import { memberRecord } from "../fleet/member_record.ts";

/** Within the prefix of the instances, so that one watch follows both. */
const PREFIX = `${memberRecord.prefix}rollouts/`;

const SCHEMA: z.ZodType<RolloutRecord> = z.object({
  service: z.string(),
  to: z.string(),
  order: z.number(),
  step: z.enum(ROLLOUT_STEPS),
  orderedAtMs: z.number(),
  replaced: z.array(z.string()),
  reason: z.string(),
});

/** Keys and encoding of the store records of roll-outs' steps. */
export const rolloutRecord = {
  buildKey: (service: string): string => `${PREFIX}${service}`,
  /** Whether the store can hold the record of a service of this name. */
  canHold: (service: string): boolean =>
    Buffer.byteLength(PREFIX + service) <= METADATA.MAX_KEY_BYTES,
  /** Returns the service; undefined if the key is of another record. */
  parseKey: (key: string): string | undefined =>
    key.startsWith(PREFIX) ? key.slice(PREFIX.length) : undefined,
  encode: (record: RolloutRecord): Buffer =>
    Buffer.from(JSON.stringify(record)),
  /** Returns undefined for a value that is not such a record. */
  decode: (value: Buffer): RolloutRecord | undefined =>
    decodeJson(SCHEMA, value),
} as const;
