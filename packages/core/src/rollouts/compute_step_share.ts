import { assertNever } from "../shared/assert_never.ts";
import { ROLLOUTS } from "./constants.ts";
import type { RolloutBounds, RolloutStep } from "./types.ts";

/** Computes the share of requests that goes to the new version at a step. */
export function computeStepShare(
  step: RolloutStep,
  { share }: Pick<RolloutBounds, "share">,
): number {
  switch (step) {
    case "ordered":
    case "rolled-back":
      return 0;
    case "trial":
      return Math.min(1, share * ROLLOUTS.TRIAL_FACTOR);
    case "small":
      return Math.min(1, share * ROLLOUTS.SMALL_FACTOR);
    case "large":
      return Math.min(1, share * ROLLOUTS.LARGE_FACTOR);
    case "most":
      return Math.min(
        ROLLOUTS.MAX_COMPARED_SHARE,
        share * ROLLOUTS.MOST_FACTOR,
      );
    case "all":
    case "completed":
      return 1;
    default:
      return assertNever(step);
  }
}
