import type { BatchItem } from "@gooseberryline/core";
import type { CallDialect, UpstreamHeaderFields } from "../dialect/types.ts";
import { convertItemHeaders } from "./convert_item_headers.ts";

type ItemMessageParts = Pick<
  UpstreamHeaderFields,
  "upstreamId" | "remainingMs" | "lastEventId"
> & {
  readonly host: string;
  /** Empty if the job has no customer. */
  readonly customer: string;
};

/** Builds the headers of an item's run; its own can't replace what is set here. */
export function buildItemHeaders(
  item: BatchItem,
  dialect: Pick<CallDialect, "buildHeaders">,
  { host, customer, ...fields }: ItemMessageParts,
): Record<string, string> {
  const headers = { ...convertItemHeaders(item), host };
  return dialect.buildHeaders(headers, {
    ...fields,
    requestId: item.id,
    customer: customer === "" ? undefined : customer,
  });
}
