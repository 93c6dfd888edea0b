import { assertNever } from "../shared/assert_never.ts";
import { CRASHES } from "./constants.ts";
import type { BlockSubject, CrashBlock, PromptBlock } from "./types.ts";

/** Returns whether a block holds for a request. */
export function holdsBlock(block: CrashBlock, subject: BlockSubject): boolean {
  switch (block.kind) {
    case "request":
      return subject.hasKey(block.request);
    case "prompt":
      return holdsPromptBlock(block, subject);
    default:
      return assertNever(block);
  }
}

function holdsPromptBlock(
  { parts, customers }: PromptBlock,
  subject: BlockSubject,
): boolean {
  return (
    parts.every((part) => subject.parts.includes(part)) &&
    (customers.length >= CRASHES.CUSTOMERS_FOR_ALL ||
      customers.includes(subject.customer))
  );
}
