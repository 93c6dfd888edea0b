/** Service-level burn: how fast the allowance of late answers is used up. */
import type { CustomerId, ProfileName } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";

/** How one request went, against its profile's promise. */
export type ServiceOutcome = {
  readonly profile: ProfileName;
  readonly customer: CustomerId;
  /** Whether the promise was missed: late, cut off or refused in rate. */
  readonly isMissed: boolean;
};

/** Requests counted in one slot of time. */
export type BurnSlot = {
  /** Number of the slot since the epoch. */
  readonly slot: number;
  readonly total: number;
  readonly missed: number;
};

/** The slots of one profile and customer, a list a window. */
export type BurnEntry = {
  readonly profile: ProfileName;
  readonly customer: CustomerId;
  readonly windows: Table<readonly BurnSlot[]>;
};

export type BurnState = Table<BurnEntry>;

/** One row of the report: a profile and customer over one window. */
export type BurnRow = {
  readonly profile: string;
  readonly customer: string;
  /** Name of the window, e.g. "1h". */
  readonly window: string;
  readonly total: number;
  readonly missed: number;
  /** Share of requests outside the promise. */
  readonly missedShare: number;
  /** 1 uses the allowance up just when the window ends. */
  readonly burnRate: number;
};
