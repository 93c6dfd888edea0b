import {
  type BacklogLedger,
  type BatchClaim,
  type BatchItem,
  type BatchJob,
  type BatchProgress,
  type BatchResult,
  ITEM_RESULTS,
  type JobBacklog,
  type PartialItemText,
} from "@gooseberryline/core";
import { z } from "zod";
import { decodeJson } from "../decode_json.ts";

const ITEM: z.ZodType<BatchItem> = z.object({
  id: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: z.string(),
  tokens: z.number(),
});

const JOB: z.ZodType<BatchJob> = z.object({
  id: z.string(),
  customer: z.string(),
  host: z.string(),
  prefix: z.string(),
  configRevision: z.number().default(0),
  submittedAtMs: z.number(),
  dueMs: z.number(),
  retentionMs: z.number(),
  maxAttempts: z.number(),
  itemIds: z.array(z.string()),
  chunkStarts: z.array(z.number()),
});

const CLAIM: z.ZodType<BatchClaim> = z.object({
  owner: z.string(),
  incarnation: z.string(),
  dueAtMs: z.number(),
});

const PROGRESS: z.ZodType<BatchProgress> = z.object({
  listed: z.array(z.number()),
  writer: z.string(),
});

const LEDGER: z.ZodType<BacklogLedger> = z.object({
  bound: z.number(),
  accepted: z.number(),
  configRevision: z.number(),
});

const JOB_BACKLOG: z.ZodType<JobBacklog> = z.object({ tokens: z.number() });

const RESULT: z.ZodType<BatchResult> = z.object({
  id: z.string(),
  state: z.enum([ITEM_RESULTS.completed, ITEM_RESULTS.errored]),
  text: z.string(),
});

const TEXT: z.ZodType<PartialItemText> = z.object({
  index: z.number(),
  texts: z.array(z.string()),
  lastEventId: z.number(),
  origin: z.object({ service: z.string(), version: z.string() }).optional(),
  ranMs: z.number(),
});

/**
 * Encodes and decodes the job records of the metadata store. Decoding returns
 * undefined for bytes that do not match this version's schema.
 */
export const batchRecords = {
  encode: (
    record:
      | BatchJob
      | BatchClaim
      | BatchProgress
      | BacklogLedger
      | JobBacklog
      | BatchResult
      | PartialItemText,
  ): Buffer => Buffer.from(JSON.stringify(record)),
  encodeChunk: (items: readonly BatchItem[]): Buffer =>
    Buffer.from(JSON.stringify(items)),
  decodeJob: (value: Buffer) => decodeJson(JOB, value),
  decodeClaim: (value: Buffer) => decodeJson(CLAIM, value),
  decodeProgress: (value: Buffer) => decodeJson(PROGRESS, value),
  decodeResult: (value: Buffer) => decodeJson(RESULT, value),
  decodeText: (value: Buffer) => decodeJson(TEXT, value),
  decodeLedger: (value: Buffer) => decodeJson(LEDGER, value),
  decodeJobBacklog: (value: Buffer) => decodeJson(JOB_BACKLOG, value),
  decodeChunk: (value: Buffer) => decodeJson(z.array(ITEM), value),
} as const;
