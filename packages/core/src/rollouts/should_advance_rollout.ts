import { assertNever } from "../shared/assert_never.ts";
import { ROLLOUTS } from "./constants.ts";
import type { RolloutFacts } from "./types.ts";

/** Returns whether a roll-out may go to its next step. */
export function shouldAdvanceRollout(facts: RolloutFacts): boolean {
  const { step, hasNew, oldSlots, isOldIdle } = facts;
  switch (step) {
    case "ordered":
      return hasNew;
    case "trial":
      return oldSlots === 0 || hasTrialEnded(facts);
    case "small":
    case "most":
      return oldSlots === 0 || hasStepEnded(facts);
    case "large":
      return oldSlots === 0 || (hasStepEnded(facts) && hasCapacity(facts));
    case "all":
      return isOldIdle && hasNew;
    case "completed":
    case "rolled-back":
      return false;
    default:
      return assertNever(step);
  }
}

function hasTrialEnded({
  elapsedMs,
  sinceStepMs,
  durationMs,
  evidence,
}: RolloutFacts): boolean {
  const answered = evidence.rows
    .filter(({ isNew }) => isNew)
    .reduce((sum, row) => sum + row.answered, 0);
  const minMs = durationMs * ROLLOUTS.TRIAL_PART;
  const limitMs = durationMs * ROLLOUTS.TRIAL_LIMIT_PART;
  const isLong = elapsedMs >= minMs && sinceStepMs >= minMs / 2;
  const { sentNew, sentOld } = evidence;
  // Upstreams that no request reaches must not get all of them.
  const isReached =
    sentNew === 0
      ? sentOld < ROLLOUTS.TRIAL_ANSWERS
      : answered >= sentNew * ROLLOUTS.MIN_REACHED_PART;
  return (
    (isLong && answered >= ROLLOUTS.TRIAL_ANSWERS) ||
    (elapsedMs >= limitMs && isReached)
  );
}

function hasStepEnded({ sinceStepMs, durationMs }: RolloutFacts): boolean {
  const stepMs = Math.min(
    ROLLOUTS.MAX_STEP_MS,
    Math.max(ROLLOUTS.MIN_STEP_MS, durationMs * ROLLOUTS.STEP_PART),
  );
  return sinceStepMs >= stepMs;
}

function hasCapacity({
  newSlots,
  oldSlots,
  elapsedMs,
  durationMs,
}: RolloutFacts): boolean {
  return (
    newSlots >= oldSlots * ROLLOUTS.CAPACITY_PART ||
    elapsedMs >= durationMs * ROLLOUTS.COLD_LIMIT_PART
  );
}
