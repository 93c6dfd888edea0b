import type { CustomerId, KeyId } from "../ids/types.ts";
import type { ConfigDocument } from "./types.ts";

/**
 * Returns whether the document still contains the key that work came with.
 * True for work without a key.
 */
export function holdsKey(
  { customers }: ConfigDocument,
  {
    customer,
    keyId,
  }: { readonly customer: CustomerId; readonly keyId: KeyId | undefined },
): boolean {
  return (
    keyId === undefined ||
    (customers[customer]?.keys.some(({ id }) => id === keyId) ?? false)
  );
}
