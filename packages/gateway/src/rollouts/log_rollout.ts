import type { EventLog } from "@gooseberryline/core";
import { describeEvidence } from "./describe_evidence.ts";
import type { ServiceRollout } from "./service_rollout.ts";

type RolloutNews = {
  readonly event: "rollout-step" | "rollout-bad";
  /** The store, the peer that told it, or this instance itself. */
  readonly source: string;
  readonly reason: string | undefined;
  readonly nowMs: number;
};

/** Logs a step of a roll-out, or that its version is bad, with the evidence. */
export function logRollout(
  log: EventLog,
  rollout: ServiceRollout,
  { event, source, reason, nowMs }: RolloutNews,
): void {
  const { service, to } = rollout.order;
  const fields = {
    service,
    to,
    step: rollout.storedStep,
    source,
    sinceOrderMs: Math.round(rollout.measureElapsedMs(nowMs)),
    evidenceAgeMs: Math.round(rollout.measureEvidenceAgeMs(nowMs)),
    reason,
    ...describeEvidence(rollout.mergeEvidence()),
  };
  if (event === "rollout-bad") {
    log.warn(event, fields);
  } else {
    log.info(event, fields);
  }
}
