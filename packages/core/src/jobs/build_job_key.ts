import type { CustomerId, JobId } from "../ids/types.ts";

/**
 * Returns the store key of a job's record. All jobs of a customer share a
 * prefix.
 */
export function buildJobKey(customer: CustomerId, jobId: JobId): string {
  return `jobs/${customer}/${jobId}`;
}
