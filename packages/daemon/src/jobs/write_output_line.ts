import type { JobSpec } from "@gooseberryline/core";
import type { StoredResult } from "./types.ts";

/** Writes one line of a job's output or error file. */
export function writeOutputLine(
  spec: JobSpec,
  customId: string,
  { index, attemptId, kind, status, body }: StoredResult,
): string {
  const isAnswer = kind === "answer";
  const line = {
    id: `${spec.jobId}_${index}`,
    custom_id: customId,
    response: isAnswer
      ? { status_code: status, request_id: attemptId, body }
      : null,
    error: isAnswer ? null : body,
  };
  return `${JSON.stringify(line)}\n`;
}
