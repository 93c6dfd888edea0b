import { ROLLOUTS } from "./constants.ts";

/**
 * Adds to an instance's budget of requests to the new version what one request of
 * its service allows. One is sent there for each whole unit, which it takes: what
 * an instance sends stays under its share of its own requests, whatever messages
 * are lost.
 */
export function refillRolloutBudget(budget: number, share: number): number {
  return Math.max(budget, Math.min(ROLLOUTS.MAX_BUDGET, budget + share));
}
