/** Types of an instance's state, its events, effects and peer messages. */
import type {
  ClaimAnswer,
  ClaimRelease,
  ClaimRequest,
  ClaimsState,
} from "../claims/types.ts";
import type {
  Config,
  ConfigPropagationState,
  ConfigRequest,
  ConfigResponse,
  ConfigSource,
} from "../config/types.ts";
import type {
  AttemptId,
  CustomerId,
  DataCentreId,
  InstanceId,
  JobId,
  UpstreamId,
  WorkId,
} from "../ids/types.ts";
import type {
  EndedSegment,
  ItemResult,
  JobCancelled,
  JobOutput,
  JobSpec,
  JobsState,
  OfferAnswer,
} from "../jobs/types.ts";
import type {
  Limit,
  LoanAnswer,
  LoanRequest,
  PendingLoanRequest,
  TokenQueueEntry,
} from "../limits/types.ts";
import type {
  Heartbeat,
  ListedInstance,
  MembershipState,
} from "../membership/types.ts";
import type {
  PlatformAnswer,
  PlatformCall,
  PlatformState,
} from "../platform/types.ts";
import type { Policy } from "../policy/types.ts";
import type { ArrivalRate, QueueState } from "../queue/types.ts";
import type { ShardedTable } from "../sharded/types.ts";
import type { Table } from "../shared/types.ts";
import type {
  DemandReport,
  ShareReductionAnswer,
  ShareReductionRequest,
  SharesRequest,
  SharesState,
  SharesWritten,
} from "../shares/types.ts";
import type { SlotGrants, SlotReport, SlotState } from "../slots/types.ts";
import type { TimerGroup } from "../timers/types.ts";
import type { Upstream } from "../upstreams/types.ts";
import type {
  AttemptOutcome,
  Refusal,
  RunRecord,
  Work,
  WorkOrder,
  WorkOrigin,
} from "../work/types.ts";

/** Identity of this instance, read from its settings at startup. */
export type InstanceSelf = {
  readonly instanceId: InstanceId;
  readonly dataCentre: DataCentreId;
  /** Address of the peer listener, as `IP:port`. */
  readonly address: string;
  /** Unique id of this process start. */
  readonly incarnation: string;
  /** Whether it has a data folder that persists across restarts. */
  readonly hasDisk: boolean;
};

/** Complete state of an instance, as plain immutable data. */
export type InstanceState = {
  readonly self: InstanceSelf;
  readonly seed: number;
  readonly policy: Policy;
  readonly attemptCount: number;
  readonly isStopping: boolean;
  /** Time from which a stopping instance refuses new requests. */
  readonly refuseFromMs: number;
  readonly config: Config | undefined;
  /** Rate limit of this instance, by customer. */
  readonly limits: Table<Limit>;
  /** Work waiting for a rate limit token of this instance, by customer. */
  readonly tokenQueues: Table<readonly TokenQueueEntry[]>;
  /** Pending loan requests to peers, by customer. */
  readonly loanRequests: Table<readonly PendingLoanRequest[]>;
  readonly shares: SharesState;
  readonly upstreams: Table<Upstream>;
  readonly works: ShardedTable<Work>;
  /** Work id of each running attempt. */
  readonly attempts: ShardedTable<WorkId>;
  /** Timer groups, earliest first. */
  readonly timers: readonly TimerGroup[];
  readonly queues: QueueState;
  readonly jobs: JobsState;
  readonly claims: ClaimsState;
  readonly slots: SlotState;
  /** Retries left. Replenished by accepted requests. */
  readonly retryBudget: number;
  /** Recent arrival rate of online requests, by service. */
  readonly arrivals: Table<ArrivalRate>;
  readonly membership: MembershipState;
  readonly configPropagation: ConfigPropagationState;
  readonly platform: PlatformState;
};

/** Messages between instances. */
export type PeerMessage =
  | Heartbeat
  | ConfigRequest
  | ConfigResponse
  | JobCancelled
  | ClaimRequest
  | ClaimAnswer
  | ClaimRelease
  | SlotReport
  | SlotGrants
  | LoanRequest
  | LoanAnswer
  | DemandReport
  | ShareReductionRequest
  | ShareReductionAnswer
  | SharesRequest
  | SharesWritten;

/** Events that the daemon's tasks feed to an instance. */
export type InstanceEvent =
  | {
      readonly kind: "config-offered";
      readonly config: Config;
      readonly source: ConfigSource;
    }
  /** Result of the configuration watch of this instance. */
  | { readonly kind: "config-watch-ended"; readonly isReached: boolean }
  | { readonly kind: "request-arrived"; readonly order: WorkOrder }
  | { readonly kind: "request-abandoned"; readonly workId: WorkId }
  | {
      readonly kind: "job-offered";
      readonly offerId: string;
      readonly spec: JobSpec;
    }
  | {
      readonly kind: "job-cancel-asked";
      readonly jobId: JobId;
      readonly customer: CustomerId;
    }
  | {
      readonly kind: "attempt-first-token";
      readonly attemptId: AttemptId;
      /** Boot id of the upstream, if its answer reports one. */
      readonly bootId?: string;
    }
  | {
      readonly kind: "attempt-ended";
      readonly attemptId: AttemptId;
      readonly outcome: AttemptOutcome;
      readonly bootId?: string;
    }
  | {
      readonly kind: "result-stored";
      readonly jobId: JobId;
      readonly index: number;
      readonly result: ItemResult;
      readonly blobId: string;
    }
  /** A disk failed to store the result, which is kept until it is stored. */
  | {
      readonly kind: "result-store-failed";
      readonly jobId: JobId;
      readonly index: number;
      readonly attemptId: AttemptId | undefined;
      readonly result: ItemResult;
      readonly blobId: string;
      readonly disk: InstanceId;
    }
  /** A job's output files were built. `output` is undefined if that failed. */
  | {
      readonly kind: "output-built";
      readonly jobId: JobId;
      readonly output: JobOutput | undefined;
    }
  | {
      readonly kind: "peer-message";
      readonly from: InstanceId;
      readonly message: PeerMessage;
    }
  | {
      readonly kind: "platform-answered";
      readonly callId: string;
      readonly answer: PlatformAnswer;
    }
  | {
      readonly kind: "instances-listed";
      readonly instances: readonly ListedInstance[];
      /** Set for a list from the platform. A peer's list may be partial. */
      readonly isComplete?: boolean;
    }
  /** A planned stop begins. Requests are still accepted for `noticeMs`. */
  | { readonly kind: "stop-asked"; readonly noticeMs?: number }
  /** The process is about to exit after a planned stop. */
  | { readonly kind: "stop-ended" }
  | { readonly kind: "tick" };

/** Side effects that the daemon's tasks carry out. */
export type Effect =
  | {
      readonly kind: "start-attempt";
      readonly attemptId: AttemptId;
      readonly workId: WorkId;
      readonly upstreamId: UpstreamId;
      readonly origin: WorkOrigin;
    }
  | {
      readonly kind: "cancel-attempt";
      readonly attemptId: AttemptId;
      /** Set if its connection went silent and must not be reused. */
      readonly isSilent?: boolean;
    }
  | { readonly kind: "complete-request"; readonly workId: WorkId }
  | {
      readonly kind: "refuse-request";
      readonly workId: WorkId;
      readonly refusal: Refusal;
    }
  | {
      readonly kind: "store-result";
      readonly jobId: JobId;
      readonly index: number;
      /** Attempt whose answer is the result. Undefined for an error. */
      readonly attemptId: AttemptId | undefined;
      readonly result: ItemResult;
      /** Result file. `disks` lists the instances that must store it. */
      readonly blobId: string;
      readonly disks: readonly InstanceId[];
    }
  | {
      readonly kind: "answer-job";
      readonly offerId: string;
      readonly answer: OfferAnswer;
    }
  /** Builds the output and error files of a job whose items have all ended. */
  | {
      readonly kind: "build-output";
      readonly spec: JobSpec;
      readonly segments: readonly EndedSegment[];
    }
  /** Drops the item results of an ended job, whose output files are stored. */
  | { readonly kind: "drop-results"; readonly jobId: JobId }
  | {
      readonly kind: "send-peer";
      readonly to: InstanceId;
      readonly message: PeerMessage;
    }
  | {
      readonly kind: "call-platform";
      readonly callId: string;
      readonly call: PlatformCall;
    }
  /** Starts or stops the watch of the configuration in the store. */
  | { readonly kind: "watch-config"; readonly isWatching: boolean }
  /** Persists an adopted configuration if the instance has a disk. */
  | { readonly kind: "keep-config"; readonly config: Config }
  | { readonly kind: "record-run"; readonly run: RunRecord };

/** The state after an event and the effects to carry out. */
export type Step = {
  readonly state: InstanceState;
  readonly effects: readonly Effect[];
};
