import type { InstanceState } from "../instance/types.ts";
import { requeueWork } from "./requeue_work.ts";
import type { Work } from "./types.ts";

/** Queues work for another attempt and charges the retry budget. */
export function retryWork(
  state: InstanceState,
  work: Work,
  mayHaveRun: boolean,
): InstanceState {
  const charged = { ...state, retryBudget: state.retryBudget - 1 };
  return requeueWork(charged, work, { event: "RETRY", mayHaveRun });
}
