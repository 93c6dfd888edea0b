import type { InstanceState } from "@gooseberryline/core";

/** Lets an instance know its upstreams as warm, as one of a running fleet. */
export function markUpstreamsWarm(state: InstanceState): InstanceState {
  const upstreams = Object.entries(state.upstreams).map(([id, upstream]) => [
    id,
    { ...upstream, knownAllowance: upstream.maxConcurrency },
  ]);
  return { ...state, upstreams: Object.fromEntries(upstreams) };
}
