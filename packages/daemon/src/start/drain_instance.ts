import {
  type InstanceEvent,
  type InstanceState,
  isDrained,
} from "@gooseberryline/core";
import type { Log } from "../logs/create_log.ts";
import type { Listener } from "../tasks/types.ts";
import { findLongestDeadline } from "./find_longest_deadline.ts";

const POLL_INTERVAL_MS = 20;
const DRAIN_MARGIN_MS = 1_000;

/** Dependencies of {@link drainInstance}. */
export type DrainParts = {
  readonly post: (event: InstanceEvent) => void;
  readonly readState: () => InstanceState;
  readonly listeners: readonly Listener[];
  readonly log: Log;
};

/**
 * Drains an instance for a planned stop. The instance reports not ready at
 * once, accepts requests for another `noticeMs`, and then waits until all work
 * is finished or handed back, at most for the longest deadline of any profile.
 */
export async function drainInstance(
  { post, readState, listeners, log }: DrainParts,
  noticeMs: number,
): Promise<void> {
  const startedMs = Date.now();
  post({ kind: "stop-asked", noticeMs });
  log.info("stopping", { noticeMs });
  listeners.forEach((listener) => {
    listener.startDrain();
  });
  const longestDeadlineMs = findLongestDeadline(readState().config);
  const waitUntilMs =
    startedMs + noticeMs + longestDeadlineMs + DRAIN_MARGIN_MS;
  const isFinished = (): boolean =>
    isDrained(readState(), Date.now()) &&
    listeners.every(({ countInFlight }) => countInFlight() === 0);
  while (!isFinished() && Date.now() < waitUntilMs) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  await Promise.all(listeners.map(({ close }) => close(longestDeadlineMs)));
  post({ kind: "stop-ended" });
  const remaining = readState().works.count;
  log.info("drained", { tookMs: Date.now() - startedMs, left: remaining });
}
