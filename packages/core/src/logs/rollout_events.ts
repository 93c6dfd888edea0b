/** Evidence of both versions, as added up over the fleet at that moment. */
const EVIDENCE_FIELDS = [
  "sentNew",
  "sentOld",
  "answered",
  "bad",
  "oldAnswered",
  "oldBad",
] as const;

/** Fields of a step, and of what decided it. */
const STEP_FIELDS = [
  "service",
  "to",
  "step",
  "source",
  "sinceOrderMs",
  "evidenceAgeMs",
  "reason",
  ...EVIDENCE_FIELDS,
] as const;

/** Log events of roll-outs. */
export const ROLLOUT_EVENTS = {
  "rollout-ordered": {
    fields: ["service", "to", "durationMs", "revision", "step"],
    text: "Operators ask for a service's traffic to move to a version",
  },
  "rollout-order-unreadable": {
    fields: ["service", "revision", "reason"],
    text: "An order can't be read; traffic stays as it is",
  },
  "rollout-withdrawn": {
    fields: ["service"],
    text: "An order was removed; both versions get requests again",
  },
  "rollout-step": {
    fields: STEP_FIELDS,
    text: "A roll-out is at its next step, as the store or a peer tells",
  },
  "rollout-bad": {
    fields: STEP_FIELDS,
    text: "The new version is worse than the old one; it gets nothing more from here",
  },
  "rollout-not-written": {
    fields: ["service", "step", "reason"],
    text: "The store did not confirm a step; it is tried again",
  },
  "rollout-record-unreadable": {
    fields: ["service"],
    text: "The record of a roll-out's step can't be read; the last one known stands",
  },
} as const;
