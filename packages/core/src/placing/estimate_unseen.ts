import type { Candidate } from "./types.ts";

/** Interval between the reports on an upstream, and how long work runs, in ms. */
type ReportTimes = {
  readonly intervalMs: number;
  readonly meanServiceMs: number;
};

/**
 * Estimates how many online requests come to an upstream between two reports on
 * it: as many as are in flight on average, for each service time (Little's law).
 * The mean over all upstreams tells more of those to come than the last count of
 * one.
 */
export function estimateUnseen(
  known: readonly Pick<Candidate, "open">[],
  { intervalMs, meanServiceMs }: ReportTimes,
): number {
  const online = known.reduce((sum, { open }) => sum + open.online, 0);
  const meanOnline = online / Math.max(1, known.length);
  return (meanOnline * intervalMs) / Math.max(1, meanServiceMs);
}
