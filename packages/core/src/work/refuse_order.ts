import type { InstanceState, Step } from "../instance/types.ts";
import type { Fault, WorkOrder } from "./types.ts";

/** Refuses an order at admission, before it could run. */
export function refuseOrder(
  state: InstanceState,
  order: WorkOrder,
  reason: {
    readonly code: Fault["code"];
    readonly message: string;
    readonly retryAfterMs?: number;
  },
): Step {
  const fault: Fault = {
    code: reason.code,
    step: "admit",
    peer: state.self.instanceId,
    message: reason.message,
  };
  const refusal = {
    fault,
    run: "not run",
    retryAfterMs: reason.retryAfterMs,
  } as const;
  return {
    state,
    effects: [{ kind: "refuse-request", workId: order.workId, refusal }],
  };
}
