import {
  assertNever,
  type InstanceState,
  type RunRecord,
} from "@gooseberryline/core";
import type { Reports, RunQuery } from "../admin/types.ts";
import { listMembers } from "../peers/list_members.ts";
import type { AnswerQuestion } from "../peers/types.ts";

/** What questions are answered from; the reports are this instance's own. */
export type AnswerParts = {
  readonly readState: () => InstanceState;
  readonly reports: Reports;
  /** Keeps run records of a peer without a disk. */
  readonly keepRuns: (runs: readonly RunRecord[]) => Promise<void>;
};

/** Creates the answers to what peers and reports ask this instance. */
export function createAnswers({
  readState,
  reports,
  keepRuns,
}: AnswerParts): AnswerQuestion {
  const readOwn = async (
    gathered: ReturnType<Reports[keyof Reports]>,
  ): Promise<unknown> => (await gathered).answers.at(0)?.body;
  return async (kind, params) => {
    switch (kind) {
      case "members":
        return listMembers(readState());
      case "config":
        return readState().config;
      case "status":
        return readOwn(reports.gatherStatus());
      case "runs":
        return readOwn(reports.gatherRuns(params as RunQuery));
      case "keep-runs":
        return keepRuns((params as { readonly runs: RunRecord[] }).runs);
      case "jobs":
        return readOwn(reports.gatherJobs());
      case "burn":
        return readOwn(reports.gatherBurn());
      default:
        return assertNever(kind);
    }
  };
}
