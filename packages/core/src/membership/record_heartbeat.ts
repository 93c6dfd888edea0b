import { handlePeerRevision } from "../config/handle_peer_revision.ts";
import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Heartbeat, Member } from "./types.ts";

/**
 * Records a peer's heartbeat. A heartbeat whose incarnation number is lower
 * than the latest known one does not update the member. A heartbeat from
 * another process with this instance's own id is ignored.
 */
export function recordHeartbeat(
  state: InstanceState,
  from: InstanceId,
  {
    heartbeat,
    nowMs,
  }: {
    readonly heartbeat: Heartbeat;
    readonly nowMs: number;
  },
): Step {
  const { membership, self } = state;
  const previous = membership.members[from];
  const isOlder = heartbeat.number < (previous?.number ?? 0);
  const { revision } = heartbeat;
  if (from === self.instanceId) {
    return { state, effects: [] };
  }
  if (isOlder) {
    return handlePeerRevision(state, { from, revision, nowMs });
  }
  const { kind: _kind, echo, sentMs, ...fields } = heartbeat;
  const isOwnEcho = echo !== undefined && echo.number === membership.number;
  const confirmedMs = isOwnEcho ? echo.sentMs : 0;
  const member: Member = {
    ...fields,
    instanceId: from,
    lastSeenMs: nowMs,
    lastSentMs: sentMs,
    confirmedMs: Math.max(confirmedMs, previous?.confirmedMs ?? 0),
    retired: previous?.retired ?? 0,
    isListed: previous?.isListed ?? false,
  };
  const members = setEntry(membership.members, from, member);
  const after = { ...state, membership: { ...membership, members } };
  return handlePeerRevision(after, { from, revision, nowMs });
}
