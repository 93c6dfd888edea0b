import type { InstanceState } from "../instance/types.ts";

/** Longest time that an attempt may run, by the profiles; milliseconds. */
export function measureLongestRun(state: InstanceState): number {
  const profiles = Object.values(state.config?.document.profiles ?? {});
  return Math.max(0, ...profiles.map(({ deadlineMs }) => deadlineMs));
}
