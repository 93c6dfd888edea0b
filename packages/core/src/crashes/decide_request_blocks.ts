import { collectEvidence } from "./collect_evidence.ts";
import { CRASHES } from "./constants.ts";
import { listLikelySuspects } from "./list_likely_suspects.ts";
import { listRivals } from "./list_rivals.ts";
import type { Crash, CrashSuspect, RequestBlock } from "./types.ts";

type ListSuspects = (crash: Crash) => readonly CrashSuspect[];

/**
 * Decides which requests to block: those that recur at crashes as likely suspects,
 * and of the crashes that these don't explain, those that recur in any state.
 */
export function decideRequestBlocks(
  crashes: readonly Crash[],
  getLastSoundMs: (request: string) => number,
): readonly RequestBlock[] {
  const likely = decideAmong(listLikelySuspects, crashes, getLastSoundMs);
  const explained = new Set(likely.flatMap(({ upstreams }) => upstreams));
  const others = crashes.filter(({ upstreamId }) => !explained.has(upstreamId));
  const listAll: ListSuspects = ({ suspects }) => suspects;
  return [...likely, ...decideAmong(listAll, others, getLastSoundMs)];
}

/**
 * Decides which of the suspects to block. A crash speaks against each, a whole
 * answer for it. The request with the most crashes explains them, so they no
 * longer speak against what ran beside it. Requests that nothing tells apart wait
 * for further crashes, up to a maximum.
 */
function decideAmong(
  listSuspects: ListSuspects,
  crashes: readonly Crash[],
  getLastSoundMs: (request: string) => number,
): readonly RequestBlock[] {
  const listRequests = (crash: Crash): readonly string[] =>
    listSuspects(crash)
      .map(({ request }) => request)
      .filter((request) => request !== "");
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
  return [...blocks, ...decideAmong(listSuspects, unexplained, getLastSoundMs)];
}
