import { DUTIES, type LoadMessage } from "@gooseberryline/core";
import { z } from "zod";
import { buildRecordSchema } from "../build_record_schema.ts";
import { CRASH_NEWS_SCHEMA } from "../crashes/crash_news_schema.ts";
import { decodeJson } from "../decode_json.ts";

const WORK = z.object({ online: z.number(), batch: z.number() });
const USE = z.object({ admitted: z.number(), tokens: z.number() });
const LIMIT = z.object({
  perSecond: z.number().nonnegative(),
  ageMs: z.number(),
  admitted: z.number(),
  tokens: z.number(),
});

const LEAVING = z.object({
  id: z.string(),
  bornMs: z.number().optional(),
});

const SCHEMA = z.object({
  from: z.string(),
  address: z.string().optional(),
  dataCentre: z.string(),
  duty: z.enum([DUTIES.serve, DUTIES.run]),
  incarnation: z.string(),
  ageMs: z.number(),
  hasStore: z.boolean(),
  sequence: z.number(),
  open: buildRecordSchema(WORK),
  waitingItems: z.number(),
  waitingServices: z.array(z.string()).optional(),
  quietMs: buildRecordSchema(z.number()),
  suspects: z.array(z.string()),
  use: buildRecordSchema(USE),
  unheard: z.array(z.string()),
  seen: buildRecordSchema(z.number()),
  listed: buildRecordSchema(z.number()),
  limits: buildRecordSchema(LIMIT).optional(),
  leaving: z.array(LEAVING).optional(),
  crashes: CRASH_NEWS_SCHEMA.optional(),
  isLeaving: z.boolean(),
});

/**
 * Encodes and decodes the load messages between instances, JSON datagrams that
 * are validated on receipt.
 */
export const loadCodec = {
  encode: (message: LoadMessage): Buffer =>
    Buffer.from(JSON.stringify(message)),
  /**
   * Returns undefined for bytes that are not a load message of this version.
   */
  decode: (bytes: Buffer): LoadMessage | undefined => decodeJson(SCHEMA, bytes),
} as const;
