import { CRASHES } from "./constants.ts";
import type { PromptBlock } from "./types.ts";

/** Returns whether a block holds for a request. */
export function holdsBlock(
  { parts, customers }: PromptBlock,
  requestParts: readonly string[],
  customer: string,
): boolean {
  return (
    parts.every((part) => requestParts.includes(part)) &&
    (customers.length >= CRASHES.CUSTOMERS_FOR_ALL ||
      customers.includes(customer))
  );
}
