import { z } from "zod";

const COUNT = z.number().int().positive().nullish();
const PROMPT = z.union([z.string(), z.array(z.unknown())]);

/**
 * Validates the completion fields that this system reads. The engine validates
 * all other fields.
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
