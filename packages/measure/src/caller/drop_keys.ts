import type { ConfigDocument } from "@gooseberryline/core";

/** The document without any key of a customer. */
export function dropKeys(
  document: ConfigDocument,
  customer: string,
): ConfigDocument {
  const known = document.customers[customer];
  const withdrawn = known && { [customer]: { ...known, keys: [] } };
  return { ...document, customers: { ...document.customers, ...withdrawn } };
}
