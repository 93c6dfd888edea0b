import type { Config } from "@gooseberryline/core";

/** Returns the longest answer deadline of any profile, in milliseconds. */
export function findLongestDeadline(config: Config | undefined): number {
  const profiles = Object.values(config?.document.profiles ?? {});
  return Math.max(0, ...profiles.map(({ deadlineMs }) => deadlineMs));
}
