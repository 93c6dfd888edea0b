import type { Candidate } from "./types.ts";

/**
 * Whether a batch item at this upstream should leave its slot: online work
 * waits there or takes the last slot.
 */
export function shouldYield({ entry, open }: Candidate): boolean {
  return open.batch > 0 && open.online + open.batch > entry.slots;
}
