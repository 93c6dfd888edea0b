import type { CrashBlock } from "@gooseberryline/core";
import { buildBlockId } from "./build_block_id.ts";

/** Describes a block for callers and logs: its id and what it refuses. */
export function describeBlock(block: CrashBlock): string {
  const refused =
    block.kind === "request" ? "this request" : block.parts.join(" ");
  return `block ${buildBlockId(block)}: upstreams crashed under ${refused}`;
}
