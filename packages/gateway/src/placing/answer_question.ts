import type { FleetView } from "../fleet/fleet_view.ts";
import { describePlacing } from "./describe_placing.ts";
import { parseQuestion } from "./parse_question.ts";

const OK = 200;
const BAD = 400;

/** Answers a question of where something would go, as a status page. */
export function answerQuestion(
  view: FleetView,
  query: URLSearchParams,
): { readonly status: number; readonly text: string } {
  const parsed = parseQuestion(query);
  return parsed.kind === "invalid"
    ? { status: BAD, text: JSON.stringify({ error: parsed.reason }) }
    : {
        status: OK,
        text: JSON.stringify(describePlacing(view, parsed.question)),
      };
}
