import type { InstanceId, InstanceState } from "@gooseberryline/core";
import type { QuestionKind } from "@gooseberryline/protocol";
import type { PeerTask } from "../peers/peer_task.ts";
import type { Gathered, Reports } from "./types.ts";

/** Creates reports over this instance and every member that it knows. */
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
  const join = async <Body>(
    local: Promise<Gathered<Body>>,
    kind: QuestionKind,
    params?: unknown,
  ): Promise<Gathered<Body>> => {
    const members = Object.keys(readState().membership.members);
    const asked = peers.gather<Body>(members as InstanceId[], kind, params);
    const [here, there] = await Promise.all([local, asked]);
    return {
      answers: [...here.answers, ...there.answers],
      missing: [...here.missing, ...there.missing],
    };
  };
  return {
    gatherStatus: () => join(own.gatherStatus(), "status"),
    gatherRuns: (query) => join(own.gatherRuns(query), "runs", query),
    // The platform holds every job: no peer need be asked.
    gatherJobs: () => own.gatherJobs(),
    gatherBurn: () => join(own.gatherBurn(), "burn"),
  };
}
