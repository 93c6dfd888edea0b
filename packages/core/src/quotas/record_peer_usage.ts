import { QUOTAS } from "./constants.ts";
import type { PeerUsage, Quota } from "./types.ts";

/** A peer's report of a customer, with what is known of the peer. */
type PeerReport = {
  readonly usage: PeerUsage;
  /** The peer's last report of this customer, if any. */
  readonly previous: PeerUsage | undefined;
  /** The peer's estimate of the bucket. */
  readonly tokens: number;
  /** The peer's uptime, in ms. */
  readonly ageMs: number;
  /** Whether the peer had been silent until this message. */
  readonly wasSilent: boolean;
  readonly receivedMs: number;
};

/**
 * Subtracts the requests that a peer has admitted since its last report. Those
 * admitted while it was silent came out of its static share and don't count. On
 * the first report of a peer, all its admissions count if it has just started.
 * A peer with a longer uptime knows the bucket: the lower of both estimates is
 * used, or the higher one while this instance is warming up.
 */
export function recordPeerUsage(quota: Quota, report: PeerReport): Quota {
  const { usage, previous, ageMs, wasSilent, receivedMs } = report;
  if (previous?.incarnation === usage.incarnation) {
    const newlyAdmitted = wasSilent
      ? 0
      : Math.max(0, usage.admitted - previous.admitted);
    return { ...quota, tokens: quota.tokens - newlyAdmitted };
  }
  if (ageMs < QUOTAS.WARM_UP_MS) {
    return { ...quota, tokens: quota.tokens - usage.admitted };
  }
  const isWarmingUp = receivedMs - quota.createdMs < QUOTAS.WARM_UP_MS;
  const tokens = isWarmingUp
    ? Math.max(quota.tokens, report.tokens)
    : Math.min(quota.tokens, report.tokens);
  return { ...quota, tokens };
}
