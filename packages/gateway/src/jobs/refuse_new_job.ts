import { callErrors } from "../requests/call_errors.ts";
import type { CallError, CallReply } from "../requests/types.ts";
import { ACCEPTED_HEAD } from "./accepted_head.ts";
import type { JobCache } from "./job_cache.ts";

/** A job as it was sent; its customer is empty if it has none. */
type SentJob = { readonly id: string; readonly customer: string };

/**
 * Refuses a job that can't be run as it is sent now, unless it was accepted before,
 * by another version or configuration: each repeat is accepted as well.
 */
export async function refuseNewJob(
  { id, customer }: SentJob,
  cache: JobCache,
  error: CallError,
  reply: CallReply,
): Promise<void> {
  const found = await cache.find(id);
  if (found.kind === "failed") {
    reply.sendError(callErrors.timedOut("the store did not answer", true));
  } else if (found.kind === "found" && found.job.customer === customer) {
    reply.sendResponse(ACCEPTED_HEAD, Buffer.alloc(0));
  } else {
    reply.sendError(error);
  }
}
