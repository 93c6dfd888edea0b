/** Types of the state that an instance keeps for each upstream. */
import type {
  DataCentreId,
  ServiceName,
  UpstreamId,
  WorkId,
} from "../ids/types.ts";

/** Running mean and mean deviation of a duration, in milliseconds. */
export type DurationStats = {
  readonly meanMs: number;
  readonly deviationMs: number;
  readonly count: number;
};

/** State of one upstream, as observed by this instance. */
export type Upstream = {
  readonly upstreamId: UpstreamId;
  readonly service: ServiceName;
  readonly dataCentre: DataCentreId;
  readonly maxConcurrency: number;
  /** Slots granted to this instance until `allowanceUntilMs`. */
  readonly allowance: number;
  readonly allowanceUntilMs: number;
  /** Slot owner's term; `grantNumber` is the number of its latest grant. */
  readonly grantTerm: string;
  readonly grantNumber: number;
  /** Total slots of all instances, as of the last grant; 0 if unknown. */
  readonly knownAllowance: number;
  /** Set until adoption of a smaller grant is reported to the slot owner. */
  readonly isAckDue: boolean;
  readonly inFlight: number;
  readonly batchInFlight: number;
  /** Batch work in flight that can be preempted, oldest start first. */
  readonly batchRuns: readonly WorkId[];
  /** Set while the platform or the configuration has it out of service. */
  readonly isLeaving: boolean;
  /** Boot id reported by its last response. */
  readonly bootId: string | undefined;
  readonly successCount: number;
  /** Number of times it was detected as cold. */
  readonly coldCount: number;
  /** Consecutive failures. */
  readonly errorStreak: number;
  readonly errorCount: number;
  /** Time of the last failure. Grants based on older reports are ignored. */
  readonly lastErrorMs: number;
  /** Consecutive first tokens that were far slower than the mean. */
  readonly slowStreak: number;
  /** Time of its last first token or complete response; negative for none. */
  readonly lastAnswerMs: number;
  /** Time of a first-token timeout with no response since. */
  readonly silentSinceMs: number | undefined;
  /** Receives no work before this time. */
  readonly suspectUntilMs: number;
  readonly firstToken: DurationStats;
  readonly run: DurationStats;
};
