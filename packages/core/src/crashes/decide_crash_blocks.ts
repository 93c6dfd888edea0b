import { decidePromptBlocks } from "./decide_prompt_blocks.ts";
import { decideRequestBlocks } from "./decide_request_blocks.ts";
import type { Crash, CrashBlock } from "./types.ts";

/**
 * Decides what to block by the crashes that are confirmed: requests that recur at
 * crashes, and parts only where different requests crash. `getLastSoundMs`
 * returns when a request was last answered whole, or an answer last began on a
 * part.
 */
export function decideCrashBlocks(
  crashes: readonly Crash[],
  getLastSoundMs: (key: string) => number,
): readonly CrashBlock[] {
  const requestBlocks = decideRequestBlocks(crashes, getLastSoundMs);
  const blocked = new Set(requestBlocks.map(({ request }) => request));
  const explained = crashes.map((crash) => dropOtherSuspects(crash, blocked));
  return [...requestBlocks, ...decidePromptBlocks(explained, getLastSoundMs)];
}

/** Leaves only the blocked requests as suspects of a crash that has some. */
function dropOtherSuspects(crash: Crash, blocked: ReadonlySet<string>): Crash {
  const suspects = crash.suspects.filter(({ request }) => blocked.has(request));
  return suspects.length > 0 ? { ...crash, suspects } : crash;
}
