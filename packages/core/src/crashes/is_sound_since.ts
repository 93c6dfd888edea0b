import { listBlockKeys } from "./list_block_keys.ts";
import type { CrashBlock } from "./types.ts";

/** Returns whether all that a block names was sound after a time, in ms. */
export function isSoundSince(
  block: CrashBlock,
  atMs: number,
  getLastSoundMs: (key: string) => number,
): boolean {
  return listBlockKeys(block).every((key) => getLastSoundMs(key) > atMs);
}
