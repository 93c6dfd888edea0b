import type { InstanceState } from "../instance/types.ts";

/** Returns the longest deadline of all profiles, in milliseconds. */
export function measureLongestRun(state: InstanceState): number {
  const profiles = Object.values(state.config?.document.profiles ?? {});
  return Math.max(0, ...profiles.map(({ deadlineMs }) => deadlineMs));
}
