/** Types of a running instance for the program that starts it. */
import type { InstanceState, RunRecord } from "@gooseberryline/core";
import type { Log } from "../logs/create_log.ts";
import type { PeerCounts } from "../peers/types.ts";
import type { PlatformCounts } from "../platform/count_calls.ts";

/** Handle of a running instance. */
export type Daemon = {
  /** Addresses of the listeners, as `IP:port`. */
  readonly caller: string;
  readonly admin: string;
  readonly peer: string;
  readonly readState: () => InstanceState;
  readonly peerCounts: PeerCounts;
  readonly platformCounts: PlatformCounts;
  /**
   * Shuts down gracefully: accepts requests for another `noticeMs`, finishes or
   * hands back all work, then stops.
   */
  readonly stop: (noticeMs?: number) => Promise<void>;
  /** Stops at once without finishing any work, as a crashed process would. */
  readonly kill: () => void;
};

/** Log and callback through which an instance reports its activity. */
export type DaemonOptions = {
  readonly log: Log;
  readonly onRun?: (run: RunRecord) => void;
};
