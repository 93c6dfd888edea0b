import type { InstanceId } from "../ids/types.ts";
import type { Effect, InstanceState, Step } from "../instance/types.ts";
import { buildHeartbeat } from "../membership/build_heartbeat.ts";
import { CONFIG_PROPAGATION } from "./constants.ts";

/**
 * Requests the configuration from a peer with a higher revision. A peer of
 * another data centre with a lower revision is sent a heartbeat, which carries
 * this instance's revision.
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
  const { configPropagation: propagation, config } = state;
  const knownRevision = config?.revision ?? propagation.offered?.revision ?? 0;
  const { pendingRequest } = propagation;
  const isRequestPending =
    pendingRequest !== undefined &&
    pendingRequest.revision >= revision &&
    nowMs - pendingRequest.atMs < CONFIG_PROPAGATION.REQUEST_TIMEOUT_MS;
  if (revision < (config?.revision ?? 0)) {
    return { state, effects: sendRevision(state, from, nowMs) };
  }
  if (revision <= knownRevision || isRequestPending) {
    return { state, effects: [] };
  }
  const message = {
    kind: "config-asked",
    have: config?.revision ?? 0,
  } as const;
  return {
    state: {
      ...state,
      configPropagation: {
        ...propagation,
        pendingRequest: { revision, atMs: nowMs },
      },
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
