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
