const CHARS_PER_TOKEN = 4;

/** Estimates the work of a completion in tokens, prompt and answer. */
export function countCostTokens(text: string, answerTokens: number): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN) + answerTokens;
}
