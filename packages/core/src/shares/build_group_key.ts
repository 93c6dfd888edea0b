import { hashText } from "../shared/hash_text.ts";
import { SHARE_TIMES } from "./share_times.ts";

/** Returns the id of the group whose record holds a customer's shares. */
export function buildGroupKey(customer: string): string {
  const index = hashText(customer) % SHARE_TIMES.GROUP_COUNT;
  return String(index).padStart(2, "0");
}
