import { noteRevision } from "../config/note_revision.ts";
import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Heartbeat, Member } from "./types.ts";

/**
 * Notes what a peer says of itself. Another process under the own name is
 * no peer.
 */
export function noteHeartbeat(
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
  if (from === state.self.instanceId) {
    return { state, effects: [] };
  }
  const { kind: _kind, ...about } = heartbeat;
  const member: Member = { instanceId: from, heardMs: nowMs, ...about };
  const members = setEntry(state.membership.members, from, member);
  const membership = { ...state.membership, members };
  const after = { ...state, membership };
  return noteRevision(after, { from, revision: heartbeat.revision, nowMs });
}
