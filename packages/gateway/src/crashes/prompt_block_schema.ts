import { z } from "zod";

/** A block in messages and in the store; without parts it would hold for all. */
export const PROMPT_BLOCK_SCHEMA = z.object({
  parts: z.array(z.string()).min(1),
  customers: z.array(z.string()),
  upstreams: z.array(z.string()),
});
