/** What an instance knows of the upstreams it may send work to. */
import type {
  DataCentreId,
  ServiceName,
  UpstreamId,
  WorkId,
} from "../ids/types.ts";

/** Running mean and mean deviation of a time, milliseconds. */
export type DurationStats = {
  readonly meanMs: number;
  readonly deviationMs: number;
  readonly count: number;
};

/** One upstream as this instance sees it. */
export type Upstream = {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  readonly dataCentre: DataCentreId;
  readonly maxConcurrency: number;
  /** Slots granted to this instance, up to `allowanceUntilMs`. */
  readonly allowance: number;
  readonly allowanceUntilMs: number;
  /** The slot owner's term and the number of its newest grant. */
  readonly grantTerm: string;
  readonly grantNumber: number;
  /** Slots of all instances together, as last granted; 0 if unknown. */
  readonly knownAllowance: number;
  /** Set until the owner is told that a smaller grant was adopted. */
  readonly isAckDue: boolean;
  readonly inFlight: number;
  readonly batchInFlight: number;
  /** Batch work in flight that may be cancelled, oldest start first. */
  readonly batchRuns: readonly WorkId[];
  /** Set while the platform or the configuration takes it out of service. */
  readonly isLeaving: boolean;
  /** Boot that its last answer named. */
  readonly bootId: string | undefined;
  readonly successCount: number;
  /** Times that it was seen to turn cold. */
  readonly coldCount: number;
  /** Failures in a row. */
  readonly errorStreak: number;
  readonly errorCount: number;
  /** Moment of the last failure; older grants count no more. */
  readonly erredMs: number;
  /** First tokens in a row that came far later than usual. */
  readonly slowStreak: number;
  /** Moment of its last sign of life; negative for none. */
  readonly answeredMs: number;
  /** Moment of a first-token timeout that no answer has followed. */
  readonly silentSinceMs: number | undefined;
  /** No work before this moment. */
  readonly suspectUntilMs: number;
  readonly firstToken: DurationStats;
  readonly run: DurationStats;
};
