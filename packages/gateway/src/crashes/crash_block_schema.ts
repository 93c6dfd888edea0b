import { z } from "zod";

const TERM = {
  term: z.number().int().positive().optional(),
  expiresAtMs: z.number().optional(),
};

const REQUEST_BLOCK = z.object({
  ...TERM,
  kind: z.literal("request"),
  request: z.string().min(1),
  upstreams: z.array(z.string()),
});

/** Without parts it would hold for all; records of earlier builds lack a kind. */
const PROMPT_BLOCK = z.object({
  ...TERM,
  kind: z.literal("prompt").default("prompt"),
  parts: z.array(z.string()).min(1),
  customers: z.array(z.string()),
  upstreams: z.array(z.string()),
});

/** A block in messages and in the store. */
export const CRASH_BLOCK_SCHEMA = z.union([REQUEST_BLOCK, PROMPT_BLOCK]);
