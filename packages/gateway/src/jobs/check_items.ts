import type { BatchItem } from "@gooseberryline/core";
import type { CallDialect } from "../dialect/types.ts";
import { countHeaderBytes } from "../http/count_header_bytes.ts";
import { callErrors } from "../requests/call_errors.ts";
import type { CallError } from "../requests/types.ts";
import { findItemFault } from "./find_item_fault.ts";

type JobFields = {
  readonly host: string;
  readonly customer: string;
  readonly dialect: Pick<CallDialect, "buildHeaders">;
  /** Bound on the headers that callers may send, in bytes. */
  readonly headerBytes: number;
};

/**
 * Checks that each item of a submitted job can be sent; returns the error for the
 * caller if one can't. An accepted item that can't be sent would never end.
 */
export function checkItems(
  items: readonly BatchItem[],
  { dialect, headerBytes, ...job }: JobFields,
): CallError | undefined {
  const isTooLong = items.some(
    ({ headers }) =>
      countHeaderBytes(Object.entries(headers).flat()) > headerBytes,
  );
  if (isTooLong) {
    return callErrors.headersTooLarge();
  }
  const faults = items.flatMap((item, index) => {
    const fault = findItemFault(item, dialect, job);
    return fault === undefined ? [] : [`items.${index}: ${fault}`];
  });
  return faults[0] === undefined
    ? undefined
    : callErrors.badRequest("bad_job", faults[0]);
}
