import type { BatchItem } from "@gooseberryline/core";
import type { CallDialect } from "../dialect/types.ts";
import { convertItemHeaders } from "./convert_item_headers.ts";

/** Lists the ids of an item's prompt parts that other requests may share. */
export function listItemParts(
  item: BatchItem,
  dialect: CallDialect,
): readonly string[] {
  return dialect.parseCallHead(convertItemHeaders(item)).promptParts;
}
