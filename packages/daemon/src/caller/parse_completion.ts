import type { z } from "zod";
import { COMPLETION_SCHEMA } from "./completion_schema.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { parseJson } from "./parse_json.ts";

const CHAT_PATH = "/v1/chat/completions";
const DEFAULT_ANSWER_TOKENS = 256;

/** A completion request as far as the system reads it. */
export type Completion = {
  readonly model: string;
  readonly isStream: boolean;
  /** The prompt as text: what its length is estimated from. */
  readonly text: string;
  /** Tokens that the answer may have, over all of its choices. */
  readonly answerTokens: number;
};

/** Parses and checks a completion request; a refusal names the field. */
export function parseCompletion(body: Buffer, path: string): Completion {
  const checked = COMPLETION_SCHEMA.safeParse(parseJson(body));
  if (!checked.success) {
    const issue = checked.error.issues.at(0);
    throw refuseField(issue?.path.join(".") ?? "", issue?.message ?? "");
  }
  const { data } = checked;
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
  const asked = data.max_completion_tokens ?? data.max_tokens;
  return (asked ?? DEFAULT_ANSWER_TOKENS) * (data.n ?? 1);
}

function refuseField(field: string, message: string): HttpRefusal {
  return new HttpRefusal(400, `${field}: ${message}`, {
    code: "invalid_field",
    step: "parse",
  });
}
