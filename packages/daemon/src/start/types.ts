/** A running instance, as the program that started it sees it. */
import type { InstanceState, RunRecord } from "@gooseberryline/core";
import type { Log } from "../logs/create_log.ts";
import type { PeerCounts } from "../peers/types.ts";
import type { PlatformCounts } from "../platform/count_calls.ts";

/** A running instance. */
export type Daemon = {
  /** Addresses of the listeners, `IP:port`. */
  readonly caller: string;
  readonly admin: string;
  readonly peer: string;
  readonly readState: () => InstanceState;
  readonly peerCounts: PeerCounts;
  readonly platformCounts: PlatformCounts;
  /**
   * Stops gracefully: accepts for `noticeMs` yet, finishes what was accepted,
   * hands back what it holds, then ends.
   */
  readonly stop: (noticeMs?: number) => Promise<void>;
  /** Stops at once, as a lost process does: nothing is finished. */
  readonly kill: () => void;
};

/** Where an instance tells what it does. */
export type DaemonOptions = {
  readonly log: Log;
  readonly onRun?: (run: RunRecord) => void;
};
