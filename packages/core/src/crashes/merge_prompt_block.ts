import { CRASHES } from "./constants.ts";
import type { PromptBlock } from "./types.ts";

/**
 * Adds a block to those in force. One with the same parts gains customers and
 * upstreams; one with more parts is replaced, as the new one is more exact.
 * Returns the same list if nothing changes.
 */
export function mergePromptBlock(
  blocks: readonly PromptBlock[],
  added: PromptBlock,
): readonly PromptBlock[] {
  const known = blocks.find((block) => isSubset(block.parts, added.parts));
  if (known === undefined) {
    const others = blocks.filter(({ parts }) => !isSubset(added.parts, parts));
    return others.length < CRASHES.MAX_BLOCKS ? [...others, added] : blocks;
  }
  const hasNews = !isSubset(added.customers, known.customers);
  if (!hasNews) {
    return blocks;
  }
  const merged = {
    parts: known.parts,
    customers: [...new Set([...known.customers, ...added.customers])],
    upstreams: [...new Set([...known.upstreams, ...added.upstreams])],
  };
  return blocks.map((block) => (block === known ? merged : block));
}

function isSubset(inner: readonly string[], outer: readonly string[]): boolean {
  return inner.every((value) => outer.includes(value));
}
