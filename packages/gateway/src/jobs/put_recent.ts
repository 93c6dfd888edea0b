import { JOB_TIMES } from "./constants.ts";

/** Puts an entry last in a map of jobs; the oldest goes where it is full. */
export function putRecent<Value>(
  jobs: Map<string, Value>,
  jobId: string,
  value: Value,
): void {
  jobs.delete(jobId);
  jobs.set(jobId, value);
  const [oldest] = jobs.keys();
  if (jobs.size > JOB_TIMES.CACHED_JOBS && oldest !== undefined) {
    jobs.delete(oldest);
  }
}
