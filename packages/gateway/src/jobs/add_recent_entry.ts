import { JOB_CONSTANTS } from "./constants.ts";

/** Sets an entry as the newest of a bounded map; evicts the oldest if full. */
export function addRecentEntry<Value>(
  jobs: Map<string, Value>,
  jobId: string,
  value: Value,
): void {
  jobs.delete(jobId);
  jobs.set(jobId, value);
  const [oldest] = jobs.keys();
  if (jobs.size > JOB_CONSTANTS.MAX_CACHED_JOBS && oldest !== undefined) {
    jobs.delete(oldest);
  }
}
