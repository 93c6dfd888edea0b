import type { PromptBlock } from "@gooseberryline/core";
import { buildBlockId } from "./build_block_id.ts";

/** Describes a block for callers and logs: its id and its parts' ids. */
export function describeBlock(block: PromptBlock): string {
  const parts = block.parts.join(" ");
  return `block ${buildBlockId(block)}: upstreams crashed under ${parts}`;
}
