import { z } from "zod";
import { buildRecordSchema } from "../build_record_schema.ts";
import { relayCodec } from "../store/relay_codec.ts";
import type { PassedRequest } from "./types.ts";

const HEADER = z.union([z.string(), z.array(z.string())]);

const SCHEMA: z.ZodType<PassedRequest> = z.object({
  route: z.string(),
  service: z.string(),
  customer: z.string().optional(),
  host: z.string(),
  method: z.string(),
  path: z.string(),
  headers: buildRecordSchema(HEADER),
  body: z.instanceof(Buffer),
  attempts: z.number().int().positive(),
  spentMs: z.number().nonnegative(),
  leftMs: z.number().nonnegative(),
  lastEventId: z.number().optional(),
  origin: z.object({ service: z.string(), version: z.string() }).optional(),
});

/** Encodes and decodes the messages in which requests are passed on. */
export const passedRequest = {
  encode: (request: PassedRequest): Buffer =>
    Buffer.from(relayCodec.encode(request)),
  /** Returns undefined for bytes that are no such message of this version. */
  decode: (bytes: Buffer): PassedRequest | undefined => {
    try {
      return SCHEMA.safeParse(relayCodec.decode(bytes.toString())).data;
    } catch {
      // Invalid JSON is treated like a message that does not match the schema.
      return undefined;
    }
  },
} as const;
