import type { BatchItem } from "@gooseberryline/core";
import type { CallDialect } from "../dialect/types.ts";

/** Lists the ids of an item's prompt parts that other requests may share. */
export function listItemParts(
  { headers }: BatchItem,
  dialect: CallDialect,
): readonly string[] {
  const lowerCase = Object.entries(headers).map(
    ([name, value]) => [name.toLowerCase(), value] as const,
  );
  return dialect.parseCallHead(Object.fromEntries(lowerCase)).promptParts;
}
