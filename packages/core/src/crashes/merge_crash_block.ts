import { CRASHES } from "./constants.ts";
import type { CrashBlock, PromptBlock, RequestBlock } from "./types.ts";

/**
 * Adds a block to those in force. One of the same parts gains customers and
 * upstreams; one of more parts is replaced, as the new one is more exact. Returns
 * the same list if nothing changes.
 */
export function mergeCrashBlock(
  blocks: readonly CrashBlock[],
  added: CrashBlock,
): readonly CrashBlock[] {
  return added.kind === "request"
    ? addRequestBlock(blocks, added)
    : mergePromptBlock(blocks, added);
}

function addRequestBlock(
  blocks: readonly CrashBlock[],
  added: RequestBlock,
): readonly CrashBlock[] {
  const isKnown = blocks.some(
    (block) => block.kind === "request" && block.request === added.request,
  );
  return isKnown || blocks.length >= CRASHES.MAX_BLOCKS
    ? blocks
    : [...blocks, added];
}

function mergePromptBlock(
  blocks: readonly CrashBlock[],
  added: PromptBlock,
): readonly CrashBlock[] {
  const known = blocks.find(
    (block) => block.kind === "prompt" && isSubset(block.parts, added.parts),
  );
  if (known?.kind !== "prompt") {
    const others = blocks.filter(
      (block) => block.kind !== "prompt" || !isSubset(added.parts, block.parts),
    );
    return others.length < CRASHES.MAX_BLOCKS ? [...others, added] : blocks;
  }
  const hasNews = !isSubset(added.customers, known.customers);
  if (!hasNews) {
    return blocks;
  }
  const merged: PromptBlock = {
    ...known,
    customers: [...new Set([...known.customers, ...added.customers])],
    upstreams: [...new Set([...known.upstreams, ...added.upstreams])],
  };
  return blocks.map((block) => (block === known ? merged : block));
}

function isSubset(inner: readonly string[], outer: readonly string[]): boolean {
  return inner.every((value) => outer.includes(value));
}
