import type { FleetMember } from "@gooseberryline/core";
import type { LoadTracker } from "./load_tracker.ts";

type Hearing = {
  readonly load: LoadTracker;
  readonly startedMs: number;
  readonly timeoutMs: number;
  readonly nowMs: number;
};

/** Lists the peers whose messages don't arrive from themselves. */
export function listUnheard(
  peers: readonly FleetMember[],
  { load, startedMs, timeoutMs, nowMs }: Hearing,
): readonly string[] {
  // Nothing can be said of peers that have had no time to send a message.
  const isSettled = nowMs - startedMs > timeoutMs;
  return (isSettled ? peers : [])
    .map(({ id }) => id)
    .filter((id) => !load.hasDirectContact(id, timeoutMs, nowMs));
}
