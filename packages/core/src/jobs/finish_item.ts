import type { InstanceState, Step } from "../instance/types.ts";
import type { WorkEnd } from "../work/finish_work.ts";
import type { Work, WorkOrigin } from "../work/types.ts";
import { setItem } from "./set_item.ts";
import { ITEM_STATES, type ItemResult } from "./types.ts";

type ItemOrigin = Extract<WorkOrigin, { kind: "item" }>;

/** Sends an item's end to storage; it counts once that has answered. */
export function finishItem(
  state: InstanceState,
  {
    origin,
    work,
    end,
  }: {
    readonly origin: ItemOrigin;
    readonly work: Work;
    readonly end: WorkEnd;
  },
): Step {
  const { jobId, index } = origin;
  const job = state.jobs[jobId];
  if (job === undefined || job.phase !== "running") {
    return { state, effects: [] };
  }
  const itemState = ITEM_STATES.STORING;
  return {
    state: setItem(state, job, { index, itemState }),
    effects: [
      {
        kind: "store-result",
        jobId,
        index,
        attemptId:
          end.kind === "answered" ? work.attempt?.attemptId : undefined,
        result: describeEnd(end),
      },
    ],
  };
}

function describeEnd(end: WorkEnd): ItemResult {
  return end.kind === "answered"
    ? { kind: "answer", status: end.outcome.status }
    : {
        kind: "error",
        code: end.refusal.fault.code,
        message: end.refusal.fault.message,
      };
}
