import type { LimitWord } from "./types.ts";

/**
 * Returns the newer of two words of an upstream. An answer without a limit lifts
 * one only if its request was sent after the limit was read (`sentMs`): before,
 * the upstream may not have named it yet.
 */
export function mergeLimitWord(
  known: LimitWord | undefined,
  word: LimitWord,
  sentMs: number,
): LimitWord {
  if (known === undefined || word.atMs < known.atMs) {
    return known ?? word;
  }
  const isLate = word.perSecond === undefined && sentMs < known.atMs;
  return known.perSecond !== undefined && isLate ? known : word;
}
