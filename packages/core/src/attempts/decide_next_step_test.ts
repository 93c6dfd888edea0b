import { expect, test } from "vitest";
import { decideNextStep } from "./decide_next_step.ts";
import type { AttemptEnd, RetryPolicy } from "./types.ts";

const nonIdempotent: RetryPolicy = {
  isIdempotent: false,
  isResumable: false,
  maxAttempts: 2,
};
const idempotent: RetryPolicy = { ...nonIdempotent, isIdempotent: true };
const resumable: RetryPolicy = { ...idempotent, isResumable: true };

const lost: AttemptEnd = { kind: "lost", reason: "reset" };
const declined: AttemptEnd = { kind: "unexecuted", status: 503 };
const unsent: AttemptEnd = { kind: "unsent", reason: "refused" };

function decide(
  policy: RetryPolicy,
  end: AttemptEnd,
  overrides: {
    runs?: number;
    tried?: number;
    begun?: boolean;
    leftMs?: number;
  },
): string {
  const { runs = 0, tried = 1, begun = false, leftMs = 1_000 } = overrides;
  const progress = { runs, upstreamsTried: tried, hasStarted: begun, leftMs };
  return decideNextStep(policy, progress, end).kind;
}

test.each([
  ["non-idempotent, lost", nonIdempotent, lost, { runs: 1 }, "fail"],
  ["non-idempotent, declined", nonIdempotent, declined, {}, "retry"],
  ["non-idempotent, unsent", nonIdempotent, unsent, {}, "retry"],
  [
    "non-idempotent, declined by all",
    nonIdempotent,
    declined,
    { tried: 5 },
    "refuse",
  ],
  ["idempotent, lost", idempotent, lost, { runs: 1 }, "retry"],
  ["idempotent, lost twice", idempotent, lost, { runs: 2 }, "fail"],
  [
    "lost, then declined by all",
    idempotent,
    declined,
    { runs: 1, tried: 5 },
    "fail",
  ],
  ["no time left", idempotent, lost, { runs: 1, leftMs: 10 }, "fail"],
  [
    "no time left, not executed",
    nonIdempotent,
    declined,
    { leftMs: 10 },
    "refuse",
  ],
  [
    "stream started, not resumable",
    idempotent,
    lost,
    { runs: 1, begun: true },
    "break-off",
  ],
  [
    "stream started, resumable",
    resumable,
    lost,
    { runs: 1, begun: true },
    "retry",
  ],
  [
    "stream started, attempts used up",
    resumable,
    lost,
    { runs: 2, begun: true },
    "break-off",
  ],
  [
    "its upstream crashed as it began to answer",
    resumable,
    { kind: "lost", reason: "the connection broke", isSuspect: true },
    { runs: 1 },
    "fail",
  ],
  ["answered", nonIdempotent, { kind: "answered", status: 200 }, {}, "done"],
] as const)("%s", (_, policy, end, overrides, expected) => {
  expect(decide(policy, end, overrides)).toBe(expected);
});
