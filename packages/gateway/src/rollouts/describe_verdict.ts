import type { RolloutVerdict } from "@gooseberryline/core";

type BadVerdict = Extract<RolloutVerdict, { kind: "bad" }>;

/** Says why a version was found bad, for logs, peers and the store. */
export function describeVerdict(verdict: BadVerdict): string {
  const { reason, route, bad, answered, expected } = verdict;
  const where = route === undefined ? "" : ` on ${route || "items"}`;
  const before = expected.toFixed(1);
  return `${reason}${where}: ${bad} of ${answered}, at the old version ${before}`;
}
