import type { InstanceId } from "../ids/types.ts";
import type { Effect, InstanceState } from "../instance/types.ts";
import { findGroup } from "../shares/find_group.ts";
import type { LoanAnswered, LoanAsked } from "./types.ts";

/** Builds the answer to a loan request, with this instance's token level. */
export function buildLoanAnswer(
  state: InstanceState,
  { from, request }: { readonly from: InstanceId; readonly request: LoanAsked },
  {
    outcome,
    heldMs,
  }: {
    readonly outcome: LoanAnswered["outcome"];
    readonly heldMs: number;
  },
): Effect {
  const { askId, customer } = request;
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
