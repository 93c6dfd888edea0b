import { CRASHES } from "./constants.ts";
import { listLikelySuspects } from "./list_likely_suspects.ts";
import type { Crash, PromptBlock } from "./types.ts";

/** Crashes that speak against a part, since its last sound answer. */
type PartEvidence = {
  readonly part: string;
  readonly crashes: readonly Crash[];
};

/**
 * Decides which prompt parts to block. A crash speaks against each part of the
 * requests that had not begun by then, a sound answer on a part for it. The part
 * with the most crashes explains them, so they no longer speak against the parts
 * that ran beside it. Parts that can't be told apart are blocked together only.
 */
export function decidePromptBlocks(
  crashes: readonly Crash[],
  getLastSoundMs: (part: string) => number,
): readonly PromptBlock[] {
  const evidence = collectEvidence(crashes, getLastSoundMs);
  const [worst] = evidence;
  if (worst === undefined || worst.crashes.length < CRASHES.BLOCKING_CRASHES) {
    return [];
  }
  const rivals = evidence.filter((other) => hasSameCrashes(other, worst));
  const companions = rivals.filter((other) => isAlwaysBeside(other, worst));
  const isClear = companions.length === rivals.length;
  if (!isClear && worst.crashes.length < CRASHES.MAX_CRASHES) {
    return [];
  }
  const block = buildBlock(companions.map(({ part }) => part).sort(), worst);
  const unexplained = crashes.filter((crash) => !worst.crashes.includes(crash));
  return [block, ...decidePromptBlocks(unexplained, getLastSoundMs)];
}

/** Lists the parts with crashes against them, those with most crashes first. */
function collectEvidence(
  crashes: readonly Crash[],
  getLastSoundMs: (part: string) => number,
): readonly PartEvidence[] {
  const byPart = new Map<string, Crash[]>();
  crashes.forEach((crash) => {
    const parts = listLikelySuspects(crash).flatMap((suspect) => suspect.parts);
    [...new Set(parts)]
      .filter((part) => getLastSoundMs(part) < crash.atMs)
      .forEach((part) => {
        byPart.set(part, [...(byPart.get(part) ?? []), crash]);
      });
  });
  return [...byPart]
    .map(([part, against]) => ({ part, crashes: against }))
    .sort(
      (a, b) =>
        b.crashes.length - a.crashes.length || a.part.localeCompare(b.part),
    );
}

function hasSameCrashes(a: PartEvidence, b: PartEvidence): boolean {
  return (
    a.crashes.length === b.crashes.length &&
    a.crashes.every((crash) => b.crashes.includes(crash))
  );
}

/** Returns whether each crash has a suspect with both parts. */
function isAlwaysBeside(a: PartEvidence, b: PartEvidence): boolean {
  return a.crashes.every((crash) =>
    listLikelySuspects(crash).some(
      ({ parts }) => parts.includes(a.part) && parts.includes(b.part),
    ),
  );
}

function buildBlock(
  parts: readonly string[],
  { crashes }: PartEvidence,
): PromptBlock {
  const customers = crashes
    .flatMap((crash) => listLikelySuspects(crash))
    .filter((suspect) => parts.every((part) => suspect.parts.includes(part)))
    .map(({ customer }) => customer);
  return {
    parts,
    customers: [...new Set(customers)],
    upstreams: crashes.map(({ upstreamId }) => upstreamId),
  };
}
