import { CRASHES } from "./constants.ts";
import type { CrashBlock, PromptBlock, RequestBlock } from "./types.ts";

/**
 * Adds a block to those in force. One of the same parts gains customers and
 * upstreams; one of more parts is replaced, as the new one is more exact; a later
 * term replaces an earlier one. Returns the same list if nothing changes.
 */
export function mergeCrashBlock(
  blocks: readonly CrashBlock[],
  added: CrashBlock,
): readonly CrashBlock[] {
  return added.kind === "request"
    ? mergeRequestBlock(blocks, added)
    : mergePromptBlock(blocks, added);
}

function mergeRequestBlock(
  blocks: readonly CrashBlock[],
  added: RequestBlock,
): readonly CrashBlock[] {
  const known = blocks.find(
    (block) => block.kind === "request" && block.request === added.request,
  );
  if (known === undefined) {
    return blocks.length < CRASHES.MAX_BLOCKS ? [...blocks, added] : blocks;
  }
  return isLaterTerm(added, known)
    ? blocks.map((block) => (block === known ? added : block))
    : blocks;
}

function isLaterTerm(added: CrashBlock, known: CrashBlock): boolean {
  return (added.term ?? 0) > (known.term ?? 0);
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
  const isLater = isLaterTerm(added, known);
  if (!isLater && isSubset(added.customers, known.customers)) {
    return blocks;
  }
  const merged: PromptBlock = {
    ...known,
    ...(isLater ? { term: added.term, expiresAtMs: added.expiresAtMs } : {}),
    customers: [...new Set([...known.customers, ...added.customers])],
    upstreams: [...new Set([...known.upstreams, ...added.upstreams])],
  };
  return blocks.map((block) => (block === known ? merged : block));
}

function isSubset(inner: readonly string[], outer: readonly string[]): boolean {
  return inner.every((value) => outer.includes(value));
}
