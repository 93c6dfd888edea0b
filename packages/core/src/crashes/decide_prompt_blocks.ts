import { collectEvidence, type KeyEvidence } from "./collect_evidence.ts";
import { CRASHES } from "./constants.ts";
import { isCertain } from "./is_certain.ts";
import { isProven } from "./is_proven.ts";
import { keySources } from "./key_sources.ts";
import { listLikelySuspects } from "./list_likely_suspects.ts";
import { listRivals } from "./list_rivals.ts";
import type {
  Crash,
  CrashContext,
  CrashSuspect,
  PromptBlock,
} from "./types.ts";

/**
 * Decides which prompt parts to block. A crash speaks against each part of the
 * requests that had not begun by then, a sound answer on a part for it. The part
 * with the most crashes explains them, so they no longer speak against the parts
 * that ran beside it. Parts that can't be told apart are blocked together only,
 * and crashes by repeats of one request say nothing of its parts.
 */
export function decidePromptBlocks(
  crashes: readonly Crash[],
  context: CrashContext,
): readonly PromptBlock[] {
  const evidence = collectEvidence(
    crashes,
    keySources.likelyParts,
    context.getLastSoundMs,
  ).filter(isOfSeveralRequests);
  const worst = evidence.find((known) => isProven(known, context));
  if (worst === undefined) {
    return [];
  }
  const rivals = listRivals(worst, evidence);
  const companions = rivals.filter((other) => isAlwaysBeside(other, worst));
  const isClear = companions.length === rivals.length;
  if (!isClear && !isCertain(worst)) {
    return [];
  }
  const block = buildBlock(companions.map(({ key }) => key).sort(), worst);
  const unexplained = crashes.filter((crash) => !worst.crashes.includes(crash));
  return [block, ...decidePromptBlocks(unexplained, context)];
}

/**
 * Returns whether enough of the crashes are not of one request's repeats: any, or
 * several if that request has to be blocked itself.
 */
function isOfSeveralRequests({ key, crashes }: KeyEvidence): boolean {
  const requests = crashes.map(
    (crash) =>
      new Set(listSuspectsWith(crash, [key]).map(({ request }) => request)),
  );
  const isExplainedBy = (request: string): number =>
    requests.filter((suspects) => suspects.has(request)).length;
  const byOneRequest = requests
    .flatMap((suspects) => [...suspects])
    .filter((request) => request !== "")
    .map(isExplainedBy);
  const explained = Math.max(0, ...byOneRequest);
  const needed =
    explained < CRASHES.BLOCKING_CRASHES
      ? 1
      : CRASHES.CRASHES_BESIDE_BLOCKED_REQUEST;
  return crashes.length - explained >= needed;
}

/** Returns whether each crash has a suspect with both parts. */
function isAlwaysBeside(a: KeyEvidence, b: KeyEvidence): boolean {
  return a.crashes.every(
    (crash) => listSuspectsWith(crash, [a.key, b.key]).length > 0,
  );
}

function listSuspectsWith(
  crash: Crash,
  parts: readonly string[],
): readonly CrashSuspect[] {
  return listLikelySuspects(crash).filter((suspect) =>
    parts.every((part) => suspect.parts.includes(part)),
  );
}

function buildBlock(
  parts: readonly string[],
  { crashes }: KeyEvidence,
): PromptBlock {
  const customers = crashes
    .flatMap((crash) => listSuspectsWith(crash, parts))
    .map(({ customer }) => customer);
  return {
    kind: "prompt",
    parts,
    customers: [...new Set(customers)],
    upstreams: crashes.map(({ upstreamId }) => upstreamId),
  };
}
