/** Types of the stand-ins and plays of tests. */

/** What an instance hears of the store: nothing, refusals, or answers late. */
export type StoreTrouble = "silent" | "busy" | "reset" | "slow" | "lossy";

/** A fleet of which some instances have trouble with the store for a while. */
export type StoreTroublePlay = {
  readonly instances: number;
  /** How many of them have no trouble. */
  readonly sound: number;
  /** Whether instances renew a lease each second. */
  readonly hasLeases: boolean;
  readonly trouble: StoreTrouble;
  /** How long the trouble lasts, in ms. */
  readonly troubleMs: number;
  /** When a record changes, in ms from the beginning of the trouble. */
  readonly changesAtMs: readonly number[];
};

/** What is wrong with an instance of the play. */
export type WatcherTrouble =
  /** The process has ended. */
  | "killed"
  /** The process stands still: it says nothing and ends no connection. */
  | "frozen"
  /** Calls that it makes to the store get no answer. */
  | "cut"
  /** Only the watches that it has at the store get no answer. */
  | "deaf"
  /** It is of a build that knows no shared watches. */
  | "old";
