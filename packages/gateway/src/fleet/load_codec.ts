import {
  type CustomerUsage,
  DUTIES,
  type LoadMessage,
} from "@gooseberryline/core";
import { z } from "zod";
import { buildCheckedRecordSchema } from "../build_checked_record_schema.ts";
import { buildRecordSchema } from "../build_record_schema.ts";
import { CRASH_NEWS_SCHEMA } from "../crashes/crash_news_schema.ts";
import { decodeJson } from "../decode_json.ts";
import { holdsNumbers } from "./holds_numbers.ts";
import { IN_FLIGHT_SCHEMA } from "./in_flight_schema.ts";

const NUMBERS = buildCheckedRecordSchema((value): value is number =>
  Number.isFinite(value),
);
const USE = buildCheckedRecordSchema(
  (value): value is CustomerUsage =>
    holdsNumbers(value, ["admitted", "tokens"]) &&
    isNumberIfPresent(Reflect.get(value, "askedPerSecond")),
);

function isNumberIfPresent(value: unknown): boolean {
  return value === undefined || Number.isFinite(value);
}

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

const SPEEDS = buildCheckedRecordSchema(
  (value): value is readonly [number, number] =>
    Array.isArray(value) &&
    value.length === 2 &&
    value.every((part) => Number.isFinite(part)),
);

const SCHEMA = z.object({
  from: z.string(),
  address: z.string().optional(),
  dataCentre: z.string(),
  duty: z.enum([DUTIES.serve, DUTIES.run]),
  incarnation: z.string(),
  ageMs: z.number(),
  hasStore: z.boolean(),
  sequence: z.number(),
  open: IN_FLIGHT_SCHEMA,
  waitingItems: z.number(),
  waitingServices: z.array(z.string()).optional(),
  quietMs: NUMBERS,
  suspects: z.array(z.string()),
  use: USE,
  unheard: z.array(z.string()),
  seen: NUMBERS,
  listed: NUMBERS,
  limits: buildRecordSchema(LIMIT).optional(),
  leaving: z.array(LEAVING).optional(),
  crashes: CRASH_NEWS_SCHEMA.optional(),
  // What can't be read of it is left out: it is advice only.
  speeds: SPEEDS.optional().catch(undefined),
  isTaking: z.boolean().optional(),
  isLeaving: z.boolean(),
  isUrgent: z.boolean().optional(),
});

/** How the mark of an urgent message reads; text in it has its quotes escaped. */
const URGENT_MARK = '"isUrgent":true';

/**
 * Encodes and decodes the load messages between instances, JSON datagrams that
 * are validated on receipt.
 */
export const loadCodec = {
  encode: (message: LoadMessage): Buffer =>
    Buffer.from(JSON.stringify(message)),
  /** Returns whether an encoded message is marked as urgent, undecoded. */
  isUrgent: (bytes: Buffer): boolean => bytes.includes(URGENT_MARK),
  /**
   * Returns undefined for bytes that are not a load message of this version.
   */
  decode: (bytes: Buffer): LoadMessage | undefined => decodeJson(SCHEMA, bytes),
} as const;
