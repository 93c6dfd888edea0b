import type { InstanceId, InstanceState } from "@gooseberryline/core";
import type { QuestionKind } from "@gooseberryline/protocol";
import type { PeerTask } from "../peers/peer_task.ts";
import type { Gathered, Reports } from "./types.ts";

/** Creates reports that cover this instance and all known members. */
export function createFleetReports(
  own: Reports,
  {
    peers,
    readState,
  }: {
    readonly peers: PeerTask;
    readonly readState: () => InstanceState;
  },
): Reports {
  const mergeReports = async <Body>(
    local: Promise<Gathered<Body>>,
    kind: QuestionKind,
    params?: unknown,
  ): Promise<Gathered<Body>> => {
    const members = Object.keys(readState().membership.members);
    const pendingParts = peers.gather<Body>(
      members as InstanceId[],
      kind,
      params,
    );
    const [ownPart, peerParts] = await Promise.all([local, pendingParts]);
    return {
      answers: [...ownPart.answers, ...peerParts.answers],
      missing: [...ownPart.missing, ...peerParts.missing],
    };
  };
  return {
    gatherStatus: () => mergeReports(own.gatherStatus(), "status"),
    gatherRuns: (query) => mergeReports(own.gatherRuns(query), "runs", query),
    // The platform stores every job, so peers are not queried.
    gatherJobs: () => own.gatherJobs(),
    gatherBurn: () => mergeReports(own.gatherBurn(), "burn"),
  };
}
