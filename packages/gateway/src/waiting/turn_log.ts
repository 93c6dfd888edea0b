import { LineBudget } from "../refusals/line_budget.ts";
import type { RequestFields } from "../requests/types.ts";
import { type RoomParts, TURN_OUTCOMES, type TurnOutcome } from "./types.ts";

/** Counts what becomes of requests, and logs those that did not start at once. */
export class TurnLog {
  readonly #parts: Pick<RoomParts, "view" | "log" | "onOutcome">;
  readonly #budget = new LineBudget();

  constructor(parts: Pick<RoomParts, "view" | "log" | "onOutcome">) {
    this.#parts = parts;
  }

  /** `describe` is called only if a line is written. */
  record(outcome: TurnOutcome, describe: () => RequestFields): void {
    const { view, log, onOutcome } = this.#parts;
    onOutcome(outcome);
    if (outcome === TURN_OUTCOMES.started) {
      return;
    }
    const omitted = this.#budget.take(outcome, view.readNowMs());
    if (omitted !== undefined) {
      log.info("request-turn", { outcome, ...describe(), omitted });
    }
  }
}
