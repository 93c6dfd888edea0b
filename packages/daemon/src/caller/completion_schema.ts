import { z } from "zod";

const COUNT = z.number().int().positive().nullish();
const PROMPT = z.union([z.string(), z.array(z.unknown())]);

/**
 * Checks the fields of a completion that the system itself reads; all others
 * are the engine's to check.
 */
export const COMPLETION_SCHEMA = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ role: z.string() })).optional(),
  prompt: PROMPT.optional(),
  stream: z.boolean().nullish(),
  max_tokens: COUNT,
  max_completion_tokens: COUNT,
  n: COUNT,
});
