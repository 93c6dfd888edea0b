import { z } from "zod";
import { decodeJson } from "../decode_json.ts";
import type { CallError } from "../requests/types.ts";

const SCHEMA: z.ZodType<CallError> = z.object({
  status: z.number().int().min(400).max(599),
  code: z.string(),
  message: z.string(),
  run: z.enum(["not run", "may have run"]),
  retryAfterMs: z.number().exactOptional(),
});

/** Encodes and decodes a peer's own errors, as the value of a header. */
export const passError = {
  encode: (error: CallError): string =>
    encodeURIComponent(JSON.stringify(error)),
  /** Returns undefined for a value that is no error of this version. */
  decode: (value: string): CallError | undefined => {
    try {
      return decodeJson(SCHEMA, Buffer.from(decodeURIComponent(value)));
    } catch {
      // A malformed escape is treated like a value that does not match.
      return undefined;
    }
  },
} as const;
