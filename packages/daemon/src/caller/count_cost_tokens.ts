const CHARS_PER_TOKEN = 4;

/**
 * Estimates the cost of a completion in tokens, for prompt and answer together.
 */
export function countCostTokens(text: string, answerTokens: number): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN) + answerTokens;
}
