import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { handleShareLowered } from "./handle_share_lowered.ts";

/** Sends the answers to wishes for lower shares that are due. */
export function answerLowered(state: InstanceState, nowMs: number): Step {
  const { shares, self } = state;
  const due = shares.answers.filter(({ dueMs }) => dueMs <= nowMs);
  if (due.length === 0) {
    return { state, effects: [] };
  }
  const answers = shares.answers.filter(({ dueMs }) => dueMs > nowMs);
  const after = { ...state, shares: { ...shares, answers } };
  return chainAll(after, due, (at, { to, message }) =>
    to === self.instanceId
      ? handleShareLowered(at, { from: to, answer: message }, nowMs)
      : { state: at, effects: [{ kind: "send-peer", to, message }] },
  );
}
