import { createHash } from "node:crypto";
import type { StreamOrigin } from "@gooseberryline/core";
import { z } from "zod";
import { decodeJson } from "../decode_json.ts";

const PREFIX = "streams/";
const KEY_LENGTH = 32;

const SCHEMA: z.ZodType<StreamOrigin> = z.object({
  service: z.string(),
  version: z.string(),
});

/** Keys and encoding of the store records of what began a stream. */
export const originRecord = {
  /** The customer is part of the key: nobody can name another's stream. */
  buildKey: (customer: string, requestId: string): string => {
    const hash = createHash("sha256");
    hash.update(JSON.stringify([customer, requestId]));
    return PREFIX + hash.digest("hex").slice(0, KEY_LENGTH);
  },
  encode: (origin: StreamOrigin): Buffer => Buffer.from(JSON.stringify(origin)),
  /** Returns undefined for a value that is not such a record. */
  decode: (value: Buffer): StreamOrigin | undefined =>
    decodeJson(SCHEMA, value),
} as const;
