import { OutputBuilder } from "../jobs/output_builder.ts";
import type { JobView } from "../jobs/types.ts";

const MS_PER_SECOND = 1000;

/** Converts a job to the batch object of the OpenAI-compatible API. */
export function describeBatch(
  view: JobView,
): Readonly<Record<string, unknown>> {
  const { spec, status, completed, failed, endedMs } = view;
  const { about, jobId } = spec;
  const endedS = endedMs === undefined ? null : toSeconds(endedMs);
  const hasOutput = endedMs !== undefined;
  return {
    id: jobId,
    object: "batch",
    endpoint: about.endpoint,
    errors: null,
    input_file_id: about.inputFileId,
    completion_window: about.completionWindow,
    status,
    output_file_id: hasOutput
      ? OutputBuilder.computeFileId(jobId, "output")
      : null,
    error_file_id:
      hasOutput && failed > 0
        ? OutputBuilder.computeFileId(jobId, "error")
        : null,
    created_at: toSeconds(spec.createdMs),
    in_progress_at: toSeconds(spec.createdMs),
    expires_at: toSeconds(spec.dueMs),
    completed_at: status === "completed" ? endedS : null,
    cancelled_at: status === "cancelled" ? endedS : null,
    request_counts: { total: spec.itemCount, completed, failed },
    metadata: about.metadata,
  };
}

function toSeconds(ms: number): number {
  return Math.floor(ms / MS_PER_SECOND);
}
