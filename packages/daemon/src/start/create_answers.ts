import {
  assertNever,
  type InstanceState,
  type RunRecord,
} from "@gooseberryline/core";
import type { Reports, RunQuery } from "../admin/types.ts";
import { listMembers } from "../peers/list_members.ts";
import type { AnswerQuestion } from "../peers/types.ts";

/** Sources of the answers; the reports cover this instance only. */
export type AnswerParts = {
  readonly readState: () => InstanceState;
  readonly reports: Reports;
  /** Stores run records of a peer that has no disk. */
  readonly storeRuns: (runs: readonly RunRecord[]) => Promise<void>;
};

/** Creates the handler for peers' queries, including those for reports. */
export function createAnswers({
  readState,
  reports,
  storeRuns,
}: AnswerParts): AnswerQuestion {
  const readOwnAnswer = async (
    report: ReturnType<Reports[keyof Reports]>,
  ): Promise<unknown> => (await report).answers.at(0)?.body;
  return async (kind, params) => {
    switch (kind) {
      case "members":
        return listMembers(readState());
      case "config":
        return readState().config;
      case "status":
        return readOwnAnswer(reports.gatherStatus());
      case "runs":
        return readOwnAnswer(reports.gatherRuns(params as RunQuery));
      case "keep-runs":
        return storeRuns((params as { readonly runs: RunRecord[] }).runs);
      case "jobs":
        return readOwnAnswer(reports.gatherJobs());
      case "burn":
        return readOwnAnswer(reports.gatherBurn());
      default:
        return assertNever(kind);
    }
  };
}
