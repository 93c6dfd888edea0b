import { collectEvidence, type KeySource } from "./collect_evidence.ts";
import { isCertain } from "./is_certain.ts";
import { isProven } from "./is_proven.ts";
import { keySources } from "./key_sources.ts";
import { listRivals } from "./list_rivals.ts";
import type { Crash, CrashContext, RequestBlock } from "./types.ts";

/**
 * Decides which requests to block: those that recur at crashes as likely suspects,
 * and of the crashes that these don't explain, those that recur in any state.
 */
export function decideRequestBlocks(
  crashes: readonly Crash[],
  context: CrashContext,
): readonly RequestBlock[] {
  const likely = decideAmong(keySources.likelyRequests, crashes, context);
  const explained = new Set(likely.flatMap(({ upstreams }) => upstreams));
  const others = crashes.filter(({ upstreamId }) => !explained.has(upstreamId));
  return [...likely, ...decideAmong(keySources.allRequests, others, context)];
}

/**
 * Decides which of the suspects to block. A crash speaks against each, a whole
 * answer for it. The request with the most crashes explains them, so they no
 * longer speak against what ran beside it. Requests that nothing tells apart wait
 * for further crashes, up to a maximum.
 */
function decideAmong(
  source: KeySource,
  crashes: readonly Crash[],
  context: CrashContext,
): readonly RequestBlock[] {
  const evidence = collectEvidence(crashes, source, context.getLastSoundMs);
  const worst = evidence.find((known) => isProven(known, context));
  if (worst === undefined) {
    return [];
  }
  const rivals = listRivals(worst, evidence);
  if (rivals.length > 1 && !isCertain(worst)) {
    return [];
  }
  const upstreams = worst.crashes.map(({ upstreamId }) => upstreamId);
  const blocks = rivals.map(({ key: request }) => ({
    kind: "request" as const,
    request,
    upstreams,
  }));
  const unexplained = crashes.filter((crash) => !worst.crashes.includes(crash));
  return [...blocks, ...decideAmong(source, unexplained, context)];
}
