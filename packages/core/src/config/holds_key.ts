import type { CustomerId, KeyId } from "../ids/types.ts";
import type { ConfigDocument } from "./types.ts";

/** Whether the customer still has the key that work came with, if any. */
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
