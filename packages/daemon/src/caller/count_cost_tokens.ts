const CHARS_PER_TOKEN = 4;
const DEFAULT_ANSWER_TOKENS = 256;

/** Estimates the work of a completion in tokens, prompt and answer. */
export function countCostTokens(
  text: string,
  maxTokens: number | undefined,
): number {
  const promptTokens = Math.ceil(text.length / CHARS_PER_TOKEN);
  return promptTokens + (maxTokens ?? DEFAULT_ANSWER_TOKENS);
}
