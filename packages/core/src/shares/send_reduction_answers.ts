import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { handleReductionAnswer } from "./handle_reduction_answer.ts";

/** Sends the answers to share reduction requests that have become due. */
export function sendReductionAnswers(
  state: InstanceState,
  nowMs: number,
): Step {
  const { shares, self } = state;
  const due = shares.answers.filter(({ dueMs }) => dueMs <= nowMs);
  if (due.length === 0) {
    return { state, effects: [] };
  }
  const answers = shares.answers.filter(({ dueMs }) => dueMs > nowMs);
  const after = { ...state, shares: { ...shares, answers } };
  return chainAll(after, due, (current, { to, message }) =>
    to === self.instanceId
      ? handleReductionAnswer(current, { from: to, answer: message }, nowMs)
      : { state: current, effects: [{ kind: "send-peer", to, message }] },
  );
}
