import type { JobRecord } from "../jobs/types.ts";

const MS_PER_SECOND = 1000;

/** Describes a job as the OpenAI-compatible interface shows a batch. */
export function describeBatch(
  record: JobRecord,
  counts: { readonly completed: number; readonly failed: number },
): Readonly<Record<string, unknown>> {
  const { spec, status, endedMs } = record;
  const endedS = endedMs === undefined ? null : toSeconds(endedMs);
  return {
    id: spec.jobId,
    object: "batch",
    endpoint: record.endpoint,
    errors: null,
    input_file_id: record.inputFileId,
    completion_window: record.completionWindow,
    status,
    output_file_id: record.outputFileId ?? null,
    error_file_id: record.errorFileId ?? null,
    created_at: toSeconds(spec.createdMs),
    in_progress_at: toSeconds(spec.createdMs),
    expires_at: toSeconds(spec.dueMs),
    completed_at: status === "completed" ? endedS : null,
    cancelled_at: status === "cancelled" ? endedS : null,
    request_counts: { total: spec.itemCount, ...counts },
    metadata: record.metadata,
  };
}

function toSeconds(ms: number): number {
  return Math.floor(ms / MS_PER_SECOND);
}
