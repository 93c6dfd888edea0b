import type { CustomerId, JobId } from "../ids/types.ts";

/** The key of a job's record: a customer's jobs share a prefix. */
export function buildJobKey(customer: CustomerId, jobId: JobId): string {
  return `jobs/${customer}/${jobId}`;
}
