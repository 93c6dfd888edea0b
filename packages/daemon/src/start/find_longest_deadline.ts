import type { Config } from "@gooseberryline/core";

/** The longest time that a profile allows for an answer, milliseconds. */
export function findLongestDeadline(config: Config | undefined): number {
  const profiles = Object.values(config?.document.profiles ?? {});
  return Math.max(0, ...profiles.map(({ deadlineMs }) => deadlineMs));
}
