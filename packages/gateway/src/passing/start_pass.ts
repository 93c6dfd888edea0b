import type { FleetMember, StreamOrigin } from "@gooseberryline/core";
import type { AttemptParts } from "../requests/attempt.ts";
import type { AttemptTracker } from "../requests/attempt_tracker.ts";
import type { AdmittedCall } from "../requests/types.ts";
import type { PassAttempt, PassEvents } from "./pass_attempt.ts";
import type { RequestPasser } from "./request_passer.ts";

type PassStart = {
  readonly call: AdmittedCall;
  readonly tracker: AttemptTracker;
  readonly peer: FleetMember;
  /** Id of the last event that the caller has received. */
  readonly lastEventId: number | undefined;
  /** What began the stream; undefined unless it has begun. */
  readonly origin: StreamOrigin | undefined;
};

/** Passes a caller's request on to a peer, and records it. */
export function startPass(
  { call, tracker, peer, lastEventId, origin }: PassStart,
  passer: RequestPasser,
  { view, log }: Pick<AttemptParts, "view" | "log">,
  events: Omit<PassEvents, "onUnable" | "onReleased">,
): PassAttempt {
  tracker.recordPass(peer.id);
  log.info("request-passed-on", { ...tracker.describe(), peer: peer.id });
  const spentMs = view.readNowMs() - call.receivedMs;
  const leftMs = tracker.computeRemainingMs();
  const { runs } = tracker;
  return passer.start(
    call,
    { peer, spentMs, leftMs, runs, lastEventId, origin },
    events,
  );
}
