import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { PlatformCall, PlatformPurpose } from "./types.ts";

/** Requests a platform call; its answer goes to the feature in `purpose`. */
export function requestPlatformCall(
  state: InstanceState,
  call: PlatformCall,
  {
    purpose,
    nowMs,
  }: {
    readonly purpose: PlatformPurpose;
    readonly nowMs: number;
  },
): Step {
  const callCount = state.platform.callCount + 1;
  const callId = String(callCount);
  const pending = setEntry(state.platform.pending, callId, {
    purpose,
    call,
    requestedMs: nowMs,
  });
  return {
    state: { ...state, platform: { ...state.platform, callCount, pending } },
    effects: [{ kind: "call-platform", callId, call }],
  };
}
