import type { InstanceId } from "../ids/types.ts";
import type { Effect, InstanceState, Step } from "../instance/types.ts";
import { buildHeartbeat } from "../membership/build_heartbeat.ts";
import { CONFIG_PROPAGATION } from "./constants.ts";

/**
 * Asks a peer for its configuration where its revision is higher. A peer of
 * another data centre whose revision is lower is told of the higher one.
 */
export function handlePeerRevision(
  state: InstanceState,
  {
    from,
    revision,
    nowMs,
  }: {
    readonly from: InstanceId;
    readonly revision: number;
    readonly nowMs: number;
  },
): Step {
  const { spread, config } = state;
  const have = config?.revision ?? spread.offered?.revision ?? 0;
  const { asked } = spread;
  const isAsked =
    asked !== undefined &&
    asked.revision >= revision &&
    nowMs - asked.atMs < CONFIG_PROPAGATION.ASK_RETRY_MS;
  if (revision < (config?.revision ?? 0)) {
    return { state, effects: sendRevision(state, from, nowMs) };
  }
  if (revision <= have || isAsked) {
    return { state, effects: [] };
  }
  const message = {
    kind: "config-asked",
    have: config?.revision ?? 0,
  } as const;
  return {
    state: {
      ...state,
      spread: { ...spread, asked: { revision, atMs: nowMs } },
    },
    effects: [{ kind: "send-peer", to: from, message }],
  };
}

function sendRevision(
  state: InstanceState,
  to: InstanceId,
  nowMs: number,
): readonly Effect[] {
  const { self, membership } = state;
  const message = buildHeartbeat(state, nowMs);
  return membership.members[to]?.dataCentre === self.dataCentre
    ? []
    : [{ kind: "send-peer", to, message }];
}
