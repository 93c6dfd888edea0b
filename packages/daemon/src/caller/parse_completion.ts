import type { z } from "zod";
import { COMPLETION_SCHEMA } from "./completion_schema.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { parseJson } from "./parse_json.ts";

const CHAT_PATH = "/v1/chat/completions";
const DEFAULT_ANSWER_TOKENS = 256;

/** The fields of a completion request that this system uses. */
export type Completion = {
  readonly model: string;
  readonly isStream: boolean;
  /** Prompt as text, used to estimate its token count. */
  readonly text: string;
  /** Maximum number of answer tokens, summed over all choices. */
  readonly answerTokens: number;
};

/**
 * Parses and validates a completion request; throws a refusal that names the
 * invalid field.
 */
export function parseCompletion(body: Buffer, path: string): Completion {
  const parsed = COMPLETION_SCHEMA.safeParse(parseJson(body));
  if (!parsed.success) {
    const issue = parsed.error.issues.at(0);
    throw refuseField(issue?.path.join(".") ?? "", issue?.message ?? "");
  }
  const { data } = parsed;
  const field = path === CHAT_PATH ? "messages" : "prompt";
  if (data[field] === undefined) {
    throw refuseField(field, "is needed");
  }
  return {
    model: data.model,
    isStream: data.stream === true,
    text: JSON.stringify(data[field]),
    answerTokens: countAnswerTokens(data),
  };
}

function countAnswerTokens(data: z.infer<typeof COMPLETION_SCHEMA>): number {
  const maxTokens = data.max_completion_tokens ?? data.max_tokens;
  return (maxTokens ?? DEFAULT_ANSWER_TOKENS) * (data.n ?? 1);
}

function refuseField(field: string, message: string): HttpRefusal {
  return new HttpRefusal(400, `${field}: ${message}`, {
    code: "invalid_field",
    step: "parse",
  });
}
