import type { PromptBlock } from "@gooseberryline/core";
import { buildBlockId } from "./build_block_id.ts";

/** Lists a block's fields for operators; lists are joined by spaces. */
export function listBlockFields(block: PromptBlock) {
  return {
    blockId: buildBlockId(block),
    promptParts: block.parts.join(" "),
    customers: block.customers.join(" "),
    upstreams: block.upstreams.join(" "),
  };
}
