import type { CrashBlock } from "./types.ts";

/** Lists the request or the prompt parts that a block names. */
export function listBlockKeys(block: CrashBlock): readonly string[] {
  return block.kind === "request" ? [block.request] : block.parts;
}
