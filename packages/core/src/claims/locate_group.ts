import { hashText } from "../shared/hash_text.ts";
import { CLAIMS } from "./constants.ts";

/** The group that a key belongs to. */
export function locateGroup(claimKey: string): string {
  return String(hashText(claimKey) % CLAIMS.GROUP_COUNT);
}
