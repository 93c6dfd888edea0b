/** Burn rates: how fast the error budget of an objective is consumed. */
import type { CustomerId, ProfileName } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";

/** Outcome of one request, measured against its profile's objective. */
export type ServiceOutcome = {
  readonly profile: ProfileName;
  readonly customer: CustomerId;
  /**
   * Whether the objective was missed: the response was late or cut off, or the
   * request was refused although the customer was within its rate.
   */
  readonly isMissed: boolean;
};

/** Request counts of one time slot. */
export type BurnSlot = {
  /** Index of the slot since the epoch. */
  readonly slot: number;
  readonly total: number;
  readonly missed: number;
};

/** The slots of one profile and customer, by window. */
export type BurnEntry = {
  readonly profile: ProfileName;
  readonly customer: CustomerId;
  readonly windows: Table<readonly BurnSlot[]>;
};

export type BurnState = Table<BurnEntry>;

/** A row of the report: one profile and customer over one window. */
export type BurnRow = {
  readonly profile: string;
  readonly customer: string;
  /** Name of the window, e.g. "1h". */
  readonly window: string;
  readonly total: number;
  readonly missed: number;
  /** Fraction of requests that missed the objective. */
  readonly missedShare: number;
  /** At 1, the error budget is used up exactly at the end of the window. */
  readonly burnRate: number;
};
