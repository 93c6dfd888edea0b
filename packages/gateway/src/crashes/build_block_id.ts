import { createHash } from "node:crypto";
import type { PromptBlock } from "@gooseberryline/core";

const ID_LENGTH = 16;

/** Returns the id of a block, which follows from its parts. */
export function buildBlockId({ parts }: PromptBlock): string {
  const text = [...parts].sort().join(" ");
  return createHash("sha256").update(text).digest("hex").slice(0, ID_LENGTH);
}
