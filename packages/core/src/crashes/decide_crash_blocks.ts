import { decidePromptBlocks } from "./decide_prompt_blocks.ts";
import { decideRequestBlocks } from "./decide_request_blocks.ts";
import { listStrays } from "./list_strays.ts";
import type { Crash, CrashBlock } from "./types.ts";

type CrashMoment = {
  readonly possible?: readonly Crash[];
  readonly nowMs?: number;
};

/**
 * Decides what to block by the crashes that are confirmed: requests that crashes
 * follow, and parts only where different requests crash. `getLastSoundMs`
 * returns when a request was last answered whole, or an answer last began on a
 * part. `possible` are all crashes that are not disproved: many for another
 * cause make it more likely that a key was there by chance. `nowMs` is left out
 * where all news has come.
 */
export function decideCrashBlocks(
  crashes: readonly Crash[],
  getLastSoundMs: (key: string) => number,
  { possible = crashes, nowMs = Number.POSITIVE_INFINITY }: CrashMoment = {},
): readonly CrashBlock[] {
  const strays = listStrays(possible, getLastSoundMs);
  const view = { getLastSoundMs, strays, nowMs };
  const requestBlocks = decideRequestBlocks(crashes, view);
  const blocked = new Set(requestBlocks.map(({ request }) => request));
  const explained = crashes.map((crash) => dropOtherSuspects(crash, blocked));
  return [...requestBlocks, ...decidePromptBlocks(explained, view)];
}

/** Leaves only the blocked requests as suspects of a crash that has some. */
function dropOtherSuspects(crash: Crash, blocked: ReadonlySet<string>): Crash {
  const suspects = crash.suspects.filter(({ request }) => blocked.has(request));
  return suspects.length > 0 ? { ...crash, suspects } : crash;
}
