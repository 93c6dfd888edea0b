import { createHash } from "node:crypto";
import type { CrashBlock } from "@gooseberryline/core";

const ID_LENGTH = 16;

/** Returns the id of a block, which follows from its request or parts. */
export function buildBlockId(block: CrashBlock): string {
  const keys = block.kind === "request" ? [block.request] : block.parts;
  const text = [...keys].sort().join(" ");
  return createHash("sha256").update(text).digest("hex").slice(0, ID_LENGTH);
}
