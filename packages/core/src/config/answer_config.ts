import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { ConfigSent } from "./types.ts";

/** Answers a peer that has a lower revision: by patches if they reach. */
export function answerConfig(
  state: InstanceState,
  to: InstanceId,
  have: number,
): Step {
  const { config, spread } = state;
  if (config === undefined || config.revision <= have) {
    return { state, effects: [] };
  }
  const first = spread.patches.findIndex(({ from }) => from === have);
  const content: ConfigSent["content"] =
    first < 0
      ? { kind: "whole", config }
      : { kind: "patches", patches: spread.patches.slice(first) };
  const message = { kind: "config-sent", content } as const;
  return { state, effects: [{ kind: "send-peer", to, message }] };
}
