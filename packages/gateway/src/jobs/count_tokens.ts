import type { BatchItem } from "@gooseberryline/core";

/** Counts the prompt and output tokens of items. */
export function countTokens(items: readonly BatchItem[]): number {
  return items.reduce((sum, { tokens }) => sum + tokens, 0);
}
