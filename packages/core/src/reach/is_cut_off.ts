import type { UpstreamReach } from "./types.ts";

/** Whether an instance is cut off: none answers, or no new connection opens. */
export function isCutOff({ answers, connections }: UpstreamReach): boolean {
  return answers.isLost || connections.isLost;
}
