import type { InstanceState, Step } from "../instance/types.ts";
import { askPlatform } from "../platform/ask_platform.ts";
import { nameGroup } from "./name_group.ts";
import { SHARE_TIMES } from "./share_times.ts";

/** Reads the records: all at the start, then one after the other. */
export function pollGroups(state: InstanceState, nowMs: number): Step {
  const { shares } = state;
  if (nowMs < shares.nextPollMs || state.membership.number === 0) {
    return { state, effects: [] };
  }
  const ids = Object.keys(shares.groups).sort();
  const customers = Object.keys(state.config?.document.customers ?? {});
  const isKnown = customers.every(
    (customer) => shares.groups[nameGroup(customer)] !== undefined,
  );
  const blank = ids.find((id) => shares.groups[id]?.version === 0);
  const groupId = isKnown
    ? (shares.staleGroup ?? blank ?? ids[shares.pollCount % ids.length])
    : undefined;
  const { POLL_MS, FIRST_POLL_MS } = SHARE_TIMES;
  const isBehind = groupId === undefined || blank !== undefined;
  const gapMs = isBehind ? FIRST_POLL_MS : POLL_MS;
  const after: InstanceState = {
    ...state,
    shares: {
      ...shares,
      nextPollMs: nowMs + gapMs,
      pollCount: shares.pollCount + 1,
      staleGroup: undefined,
    },
  };
  return groupId === undefined
    ? askPlatform(
        after,
        { kind: "list", prefix: "shares/" },
        { purpose: { feature: "shares", what: "list", id: "" }, nowMs },
      )
    : askPlatform(
        after,
        { kind: "get", key: `shares/${groupId}` },
        { purpose: { feature: "shares", what: "get", id: groupId }, nowMs },
      );
}
