import {
  type InstanceEvent,
  type InstanceState,
  isDrained,
} from "@gooseberryline/core";
import type { Log } from "../logs/create_log.ts";
import type { Listener } from "../tasks/types.ts";
import { findLongestDeadline } from "./find_longest_deadline.ts";

const POLL_MS = 20;
const MARGIN_MS = 1_000;

/** What a planned stop needs of the daemon. */
export type DrainParts = {
  readonly post: (event: InstanceEvent) => void;
  readonly readState: () => InstanceState;
  readonly listeners: readonly Listener[];
  readonly log: Log;
};

/**
 * Drains an instance: it says at once that it isn't ready, accepts requests
 * for `noticeMs` yet, and then waits until all is finished or handed back,
 * at most for the longest deadline that a profile grants.
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
  const longestMs = findLongestDeadline(readState().config);
  const lastMs = startedMs + noticeMs + longestMs + MARGIN_MS;
  const isOver = (): boolean =>
    isDrained(readState(), Date.now()) &&
    listeners.every(({ countOpen }) => countOpen() === 0);
  while (!isOver() && Date.now() < lastMs) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  await Promise.all(listeners.map(({ close }) => close(longestMs)));
  post({ kind: "stop-ended" });
  const left = readState().works.count;
  log.info("drained", { tookMs: Date.now() - startedMs, left });
}
