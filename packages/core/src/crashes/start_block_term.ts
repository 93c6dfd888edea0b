import { CRASHES } from "./constants.ts";
import type { CrashBlock } from "./types.ts";

/** Puts a block in force for its next term, each twice as long as the last. */
export function startBlockTerm(block: CrashBlock, unixMs: number): CrashBlock {
  const term = (block.term ?? 0) + 1;
  const lastsMs = Math.min(
    CRASHES.MAX_BLOCK_MS,
    CRASHES.BLOCK_MS * 2 ** (term - 1),
  );
  return { ...block, term, expiresAtMs: unixMs + lastsMs };
}
