import type { InstanceId } from "../ids/types.ts";
import type { Effect, InstanceState } from "../instance/types.ts";
import { findGroup } from "../shares/find_group.ts";
import type { LoanAnswered, LoanAsked } from "./types.ts";

/** Builds the answer to a peer's ask, with what this instance still holds. */
export function buildLoanAnswer(
  state: InstanceState,
  { from, ask }: { readonly from: InstanceId; readonly ask: LoanAsked },
  {
    outcome,
    heldMs,
  }: {
    readonly outcome: LoanAnswered["outcome"];
    readonly heldMs: number;
  },
): Effect {
  const { askId, customer } = ask;
  const tokens = state.limits[customer]?.bucket.tokens ?? 0;
  const message: LoanAnswered = {
    kind: "loan-answered",
    askId,
    customer,
    outcome,
    heldMs,
    level: tokens - (state.waiting[customer]?.length ?? 0),
    version: findGroup(state, customer)?.version ?? 0,
  };
  return { kind: "send-peer", to: from, message };
}
