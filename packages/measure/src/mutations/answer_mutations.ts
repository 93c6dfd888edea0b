import { changeEffects } from "./change_effects.ts";
import { changeEvent } from "./change_event.ts";
import type { Mutation } from "./types.ts";

/** Mutations of answers to callers and of retries. */
export const ANSWER_MUTATIONS: readonly Mutation[] = [
  {
    name: "a non-idempotent request that may have run is tried again",
    invariant: "non-idempotent-runs-once",
    seed: 5,
    changeStep: (step) =>
      changeEvent(step, (event) =>
        event.kind === "attempt-ended" && event.outcome.kind === "failed"
          ? {
              ...event,
              outcome: { kind: "not-started", fault: event.outcome.fault },
            }
          : event,
      ),
  },
  {
    name: 'every refusal says "not run"',
    invariant: "not-run-is-true",
    seed: 1,
    changeStep: (step) =>
      changeEffects(step, (effect) =>
        effect.kind === "refuse-request"
          ? [{ ...effect, refusal: { ...effect.refusal, run: "not run" } }]
          : [effect],
      ),
  },
  {
    name: "an answer that was cut off counts as whole",
    invariant: "whole-answer-to-own-request",
    seed: 4,
    changeStep: (step) =>
      changeEvent(step, (event) =>
        event.kind === "attempt-ended" && event.outcome.kind === "failed"
          ? {
              ...event,
              outcome: { kind: "completed", status: 200, tokens: 1 },
            }
          : event,
      ),
  },
];
