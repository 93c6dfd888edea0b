import { expect, test } from "vitest";
import { decideNextStep } from "./decide_next_step.ts";
import type { AttemptEnd, RepeatPolicy } from "./types.ts";

const once: RepeatPolicy = {
  isIdempotent: false,
  isResumable: false,
  maxAttempts: 2,
};
const repeatable: RepeatPolicy = { ...once, isIdempotent: true };
const resumable: RepeatPolicy = { ...repeatable, isResumable: true };

const lost: AttemptEnd = { kind: "lost", reason: "reset" };
const declined: AttemptEnd = { kind: "unexecuted", status: 503 };
const unsent: AttemptEnd = { kind: "unsent", reason: "refused" };

function decide(
  policy: RepeatPolicy,
  end: AttemptEnd,
  parts: { runs?: number; offers?: number; begun?: boolean; leftMs?: number },
): string {
  const { runs = 0, offers = 1, begun = false, leftMs = 1_000 } = parts;
  const progress = { runs, offers, hasBegun: begun, leftMs };
  return decideNextStep(policy, progress, end).kind;
}

test.each([
  ["once, lost", once, lost, { runs: 1 }, "fail"],
  ["once, declined", once, declined, {}, "retry"],
  ["once, unsent", once, unsent, {}, "retry"],
  ["once, declined by all", once, declined, { offers: 5 }, "refuse"],
  ["repeatable, lost", repeatable, lost, { runs: 1 }, "retry"],
  ["repeatable, lost twice", repeatable, lost, { runs: 2 }, "fail"],
  [
    "lost, then declined by all",
    repeatable,
    declined,
    { runs: 1, offers: 5 },
    "fail",
  ],
  ["no time left", repeatable, lost, { runs: 1, leftMs: 10 }, "fail"],
  ["no time left, not run", once, declined, { leftMs: 10 }, "refuse"],
  [
    "begun, may not go on",
    repeatable,
    lost,
    { runs: 1, begun: true },
    "break-off",
  ],
  ["begun, may go on", resumable, lost, { runs: 1, begun: true }, "retry"],
  [
    "begun, tries used up",
    resumable,
    lost,
    { runs: 2, begun: true },
    "break-off",
  ],
  ["answered", once, { kind: "answered", status: 200 }, {}, "done"],
] as const)("%s", (_, policy, end, parts, expected) => {
  expect(decide(policy, end, parts)).toBe(expected);
});
