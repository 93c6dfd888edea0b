import type { ConfigDocument } from "@gooseberryline/core";

/** Returns the document with all keys of a customer removed. */
export function dropCustomerKeys(
  document: ConfigDocument,
  customer: string,
): ConfigDocument {
  const existing = document.customers[customer];
  const changed = existing && { [customer]: { ...existing, keys: [] } };
  return { ...document, customers: { ...document.customers, ...changed } };
}
