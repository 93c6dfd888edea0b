import type { BatchItem } from "@gooseberryline/core";
import type { CallDialect } from "../dialect/types.ts";
import { convertItemHeaders } from "./convert_item_headers.ts";
import type { WaitingItem } from "./types.ts";

/**
 * Describes an item by its headers: its size, and the ids of the prompt parts
 * that other requests may share.
 */
export function describeItem(
  item: BatchItem,
  dialect: CallDialect,
): Pick<WaitingItem, "promptParts" | "size"> {
  const head = dialect.parseCallHead(convertItemHeaders(item));
  return { promptParts: head.promptParts, size: head.tokens };
}
