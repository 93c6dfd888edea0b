import type { LoadMessage } from "@gooseberryline/core";
import type { CrashTracker } from "../crashes/crash_tracker.ts";
import type { RolloutTracker } from "../rollouts/rollout_tracker.ts";
import type { DemandTracker } from "./demand_tracker.ts";
import type { QuotaTracker } from "./quota_tracker.ts";
import type { SpeedTracker } from "./speed_tracker.ts";
import type { UpstreamDirectory } from "./upstream_directory.ts";
import type { UpstreamLimitTracker } from "./upstream_limit_tracker.ts";

/** What learns from peers' load messages. */
type Learners = {
  readonly quotas: QuotaTracker;
  readonly limits: UpstreamLimitTracker;
  readonly speeds: SpeedTracker;
  readonly demand: DemandTracker;
  readonly rollouts: Pick<RolloutTracker, "recordPeerNews">;
  readonly directory: UpstreamDirectory;
  readonly crashes: CrashTracker;
};

/** Records what a peer's load message says of customers and upstreams. */
export function recordPeerNews(
  learners: Learners,
  message: LoadMessage,
  nowMs: number,
): void {
  const { quotas, limits, speeds, demand, rollouts, directory } = learners;
  quotas.recordPeerUsage(message, message.use, nowMs);
  limits.recordPeerNews(message, message.limits ?? {}, nowMs);
  speeds.recordPeerNews(message.from, message.speeds, nowMs);
  demand.recordPeer(message, nowMs);
  directory.markLeaving(message.leaving ?? []);
  rollouts.recordPeerNews(message);
  if (message.crashes !== undefined) {
    learners.crashes.recordPeerNews(message.crashes, nowMs);
  }
}
