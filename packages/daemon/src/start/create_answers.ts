import { assertNever, type InstanceState } from "@gooseberryline/core";
import type { Reports, RunQuery } from "../admin/types.ts";
import { listMembers } from "../peers/list_members.ts";
import type { AnswerQuestion } from "../peers/types.ts";

/** What questions are answered from; the reports are this instance's own. */
export type AnswerParts = {
  readonly readState: () => InstanceState;
  readonly reports: Reports;
};

/** Creates the answers to what peers and reports ask this instance. */
export function createAnswers({
  readState,
  reports,
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
      case "jobs":
        return readOwn(reports.gatherJobs());
      case "burn":
        return readOwn(reports.gatherBurn());
      default:
        return assertNever(kind);
    }
  };
}
