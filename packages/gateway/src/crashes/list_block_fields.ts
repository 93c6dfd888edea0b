import type { CrashBlock } from "@gooseberryline/core";
import { buildBlockId } from "./build_block_id.ts";

/** Lists a block's fields for operators; lists are joined by spaces. */
export function listBlockFields(block: CrashBlock) {
  const blockId = buildBlockId(block);
  const upstreams = block.upstreams.join(" ");
  return block.kind === "request"
    ? { blockId, requestKey: block.request, upstreams }
    : {
        blockId,
        promptParts: block.parts.join(" "),
        customers: block.customers.join(" "),
        upstreams,
      };
}
