import type { InstanceId } from "../ids/types.ts";
import type { Effect, InstanceState } from "../instance/types.ts";
import { findGroup } from "../shares/find_group.ts";
import type { LoanAnswer, LoanRequest } from "./types.ts";

/** Builds the answer to a loan request, with this instance's token level. */
export function buildLoanAnswer(
  state: InstanceState,
  {
    from,
    request,
  }: { readonly from: InstanceId; readonly request: LoanRequest },
  {
    outcome,
    heldMs,
  }: {
    readonly outcome: LoanAnswer["outcome"];
    readonly heldMs: number;
  },
): Effect {
  const { askId, customer } = request;
  const tokens = state.limits[customer]?.bucket.tokens ?? 0;
  const message: LoanAnswer = {
    kind: "loan-answered",
    askId,
    customer,
    outcome,
    heldMs,
    level: tokens - (state.tokenQueues[customer]?.length ?? 0),
    version: findGroup(state, customer)?.version ?? 0,
  };
  return { kind: "send-peer", to: from, message };
}
