import { hashText } from "../shared/hash_text.ts";
import { CLAIMS } from "./constants.ts";

/** Returns the id of the group that a claim key belongs to. */
export function locateGroup(claimKey: string): string {
  return String(hashText(claimKey) % CLAIMS.GROUP_COUNT);
}
