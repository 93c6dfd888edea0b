import type { BacklogDecision, BacklogRequest } from "./types.ts";

/**
 * Decides whether a job fits into its customer's backlog. The ledger's bound is
 * enough while the job fits under it; it counts jobs that have since completed,
 * so a job is refused only by a measured backlog.
 */
export function decideBacklogAdmission({
  tokens,
  limit,
  configRevision,
  ledger,
  measured,
}: BacklogRequest): BacklogDecision {
  if (tokens > limit) {
    return { kind: "never" };
  }
  const isBoundCurrent = ledger?.configRevision === configRevision;
  const waiting = measured ?? (isBoundCurrent ? ledger.bound : undefined);
  if (waiting !== undefined && waiting + tokens <= limit) {
    const accepted = (ledger?.accepted ?? 0) + tokens;
    const bound = waiting + tokens;
    return { kind: "accept", ledger: { bound, accepted, configRevision } };
  }
  return measured === undefined
    ? { kind: "measure" }
    : { kind: "over", excess: measured + tokens - limit };
}
