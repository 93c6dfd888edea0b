import type { BatchItem } from "@gooseberryline/core";
import { describeError } from "../describe_error.ts";
import type { CallDialect } from "../dialect/types.ts";
import { findMessageFault } from "../exchange/find_message_fault.ts";
import { isHeaderValue } from "../exchange/is_header_value.ts";
import { buildItemHeaders } from "./build_item_headers.ts";
import { JOB_CONSTANTS } from "./constants.ts";

type JobFields = { readonly host: string; readonly customer: string };

/** Stands for the upstream, which is not chosen yet. */
const ANY_UPSTREAM = "any";

/**
 * Says why an item could never be sent, by the message that a run of it would
 * send; undefined if it can be. Upstreams repeat its id, so a header has to carry
 * it unchanged.
 */
export function findItemFault(
  item: BatchItem,
  dialect: Pick<CallDialect, "buildHeaders">,
  job: JobFields,
): string | undefined {
  if (!isHeaderValue(item.id)) {
    return "id: no header carries it";
  }
  try {
    const headers = buildItemHeaders(item, dialect, {
      ...job,
      upstreamId: ANY_UPSTREAM,
      remainingMs: JOB_CONSTANTS.RUN_TIMEOUT_MS,
      lastEventId: undefined,
    });
    return findMessageFault({ path: item.path, headers });
  } catch (error) {
    return describeError(error);
  }
}
