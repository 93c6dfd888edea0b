import { collectEvidence } from "./collect_evidence.ts";
import { CRASHES } from "./constants.ts";
import { listLikelySuspects } from "./list_likely_suspects.ts";
import { listRivals } from "./list_rivals.ts";
import type { Crash, RequestBlock } from "./types.ts";

/**
 * Decides which requests to block. A crash speaks against each request that had
 * not begun by then, a whole answer for it. The request with the most crashes
 * explains them, so they no longer speak against what ran beside it. Requests
 * that nothing tells apart wait for further crashes, up to a maximum.
 */
export function decideRequestBlocks(
  crashes: readonly Crash[],
  getLastSoundMs: (request: string) => number,
): readonly RequestBlock[] {
  const evidence = collectEvidence(crashes, listRequests, getLastSoundMs);
  const [worst] = evidence;
  if (worst === undefined || worst.crashes.length < CRASHES.BLOCKING_CRASHES) {
    return [];
  }
  const rivals = listRivals(evidence);
  if (rivals.length > 1 && worst.crashes.length < CRASHES.MAX_CRASHES) {
    return [];
  }
  const upstreams = worst.crashes.map(({ upstreamId }) => upstreamId);
  const blocks = rivals.map(({ key: request }) => ({
    kind: "request" as const,
    request,
    upstreams,
  }));
  const unexplained = crashes.filter((crash) => !worst.crashes.includes(crash));
  return [...blocks, ...decideRequestBlocks(unexplained, getLastSoundMs)];
}

function listRequests(crash: Crash): readonly string[] {
  return listLikelySuspects(crash)
    .map(({ request }) => request)
    .filter((request) => request !== "");
}
