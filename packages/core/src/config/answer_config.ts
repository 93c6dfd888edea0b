import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { ConfigResponse } from "./types.ts";

/**
 * Sends the configuration to a peer with a lower revision: as patches if those
 * retained start at the peer's revision, else in full.
 */
export function answerConfig(
  state: InstanceState,
  to: InstanceId,
  peerRevision: number,
): Step {
  const { config, configPropagation: propagation } = state;
  if (config === undefined || config.revision <= peerRevision) {
    return { state, effects: [] };
  }
  const first = propagation.patches.findIndex(
    ({ from }) => from === peerRevision,
  );
  const content: ConfigResponse["content"] =
    first < 0
      ? { kind: "whole", config }
      : { kind: "patches", patches: propagation.patches.slice(first) };
  const message = { kind: "config-sent", content } as const;
  return { state, effects: [{ kind: "send-peer", to, message }] };
}
