import type { InstanceState } from "@gooseberryline/core";

/** Marks an instance's upstreams as warm, as in a fleet that is running. */
export function markUpstreamsWarm(state: InstanceState): InstanceState {
  const upstreams = Object.entries(state.upstreams).map(([id, upstream]) => [
    id,
    { ...upstream, knownAllowance: upstream.maxConcurrency },
  ]);
  return { ...state, upstreams: Object.fromEntries(upstreams) };
}
