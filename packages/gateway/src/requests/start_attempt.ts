import type { UpstreamEntry } from "@gooseberryline/core";
import {
  Attempt,
  type AttemptEvents,
  type AttemptParts,
  type AttemptResult,
} from "./attempt.ts";
import type { AttemptTracker } from "./attempt_tracker.ts";
import { buildExchangeOptions } from "./build_exchange_options.ts";
import type { AdmittedCall } from "./types.ts";

type AttemptStart = {
  readonly call: AdmittedCall;
  readonly tracker: AttemptTracker;
  readonly upstream: UpstreamEntry;
  /** Expected wait in the upstream's queue, in ms. */
  readonly waitMs: number;
  /** Id of the last event that the caller has received. */
  readonly lastEventId: number | undefined;
};

/** Sends a caller's request to an upstream, and records the attempt. */
export function startAttempt(
  { call, tracker, upstream, waitMs, lastEventId }: AttemptStart,
  parts: AttemptParts,
  events: AttemptEvents,
): Attempt {
  tracker.recordAttempt(upstream.id, waitMs);
  const { key, head, customer, route } = call;
  const options = buildExchangeOptions(call, parts.dialect, {
    upstream,
    waitMs,
    leftMs: tracker.computeRemainingMs(),
    runs: tracker.runs,
    lastEventId,
  });
  const { promptParts, tokens } = head;
  return new Attempt(
    {
      upstream,
      lane: "online",
      key,
      promptParts,
      customer: customer?.name,
      route: route.name,
      tokens,
    },
    {
      ...options,
      lastConnection: tracker.lastConnection,
      isLeaving: () => parts.view.directory.isLeaving(upstream),
    },
    parts,
    {
      ...events,
      onEnd: (end) => {
        if (isUnreached(end)) {
          tracker.recordUnreached();
        }
        events.onEnd(end);
      },
    },
  );
}

/** Whether the upstream may be out of reach: no connection, or silence on one. */
function isUnreached(end: AttemptResult): boolean {
  return end.kind === "unsent"
    ? end.isUnbuilt !== true
    : end.kind === "lost" && end.isSilent;
}
