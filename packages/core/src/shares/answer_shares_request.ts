import type { InstanceId } from "../ids/types.ts";
import type { Effect, InstanceState, Step } from "../instance/types.ts";

/** Sends all known group records to a peer that can't read the platform. */
export function answerSharesRequest(
  state: InstanceState,
  from: InstanceId,
): Step {
  const effects = Object.entries(state.shares.groups)
    .filter(([, { version }]) => version > 0)
    .map(
      ([group, { version, record }]): Effect => ({
        kind: "send-peer",
        to: from,
        message: {
          kind: "shares-written",
          group,
          version,
          value: JSON.stringify(record),
        },
      }),
    );
  return { state, effects };
}
