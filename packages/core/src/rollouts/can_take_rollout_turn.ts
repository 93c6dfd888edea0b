import { ROLLOUTS } from "./constants.ts";

type Turn = {
  /** Requests that this instance may send to the new version now. */
  readonly budget: number;
  readonly route: string;
  /** Answers of the new version so far, by each route that is in use. */
  readonly answers: ReadonlyMap<string, number>;
};

/**
 * Returns whether a request may take a turn of the trial. While another route
 * lacks answers, one with enough of them leaves the last unit of the budget.
 */
export function canTakeRolloutTurn({ budget, route, answers }: Turn): boolean {
  const isLacking = [...answers].some(
    ([other, count]) => other !== route && count < ROLLOUTS.MIN_ROUTE_ANSWERS,
  );
  const hasEnough = (answers.get(route) ?? 0) >= ROLLOUTS.MIN_ROUTE_ANSWERS * 2;
  return budget >= (isLacking && hasEnough ? 2 : 1);
}
