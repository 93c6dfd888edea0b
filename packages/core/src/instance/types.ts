/** The instance as a value, and the messages it takes and gives. */
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
  LoanAnswered,
  LoanAsked,
  PendingLoanRequest,
  Waiting,
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
  DemandReported,
  ShareLowerAsked,
  ShareLowered,
  SharesAsked,
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

/** Who this instance is; read from its settings at start. */
export type InstanceSelf = {
  readonly instanceId: InstanceId;
  readonly dataCentre: DataCentreId;
  /** Address of the peer listener, `IP:port`. */
  readonly address: string;
  /** Unique for each start of the process. */
  readonly incarnation: string;
  /** Whether it has a data folder that outlasts the process. */
  readonly hasDisk: boolean;
};

/** All that an instance knows; plain data. */
export type InstanceState = {
  readonly self: InstanceSelf;
  readonly seed: number;
  readonly policy: Policy;
  readonly attemptCount: number;
  readonly isStopping: boolean;
  /** From when a stopping instance refuses new requests. */
  readonly refuseFromMs: number;
  readonly config: Config | undefined;
  /** By customer: what this instance may admit. */
  readonly limits: Table<Limit>;
  /** By customer: what waits for a token here. */
  readonly waiting: Table<readonly Waiting[]>;
  /** By customer: requests that wait for a peer's token. */
  readonly asks: Table<readonly PendingLoanRequest[]>;
  readonly shares: SharesState;
  readonly upstreams: Table<Upstream>;
  readonly works: ShardedTable<Work>;
  /** Which work a running attempt belongs to. */
  readonly attempts: ShardedTable<WorkId>;
  /** Timers in groups, earliest first. */
  readonly timers: readonly TimerGroup[];
  readonly queues: QueueState;
  readonly jobs: JobsState;
  readonly claims: ClaimsState;
  readonly slots: SlotState;
  /** Retries that may still be made; grows with accepted requests. */
  readonly retryBudget: number;
  /** Recent online arrivals by service. */
  readonly arrivals: Table<ArrivalRate>;
  readonly membership: MembershipState;
  readonly spread: ConfigPropagationState;
  readonly platform: PlatformState;
};

/** What instances say to each other. */
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
  | LoanAsked
  | LoanAnswered
  | DemandReported
  | ShareLowerAsked
  | ShareLowered
  | SharesAsked
  | SharesWritten;

/** What happened, as told by the daemon's tasks. */
export type InstanceEvent =
  | {
      readonly kind: "config-offered";
      readonly config: Config;
      readonly source: ConfigSource;
    }
  /** How the watch that this instance holds last went. */
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
      /** Boot of the upstream, where its answer names it. */
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
  /** A disk of the file failed; the answer is kept until it is stored. */
  | {
      readonly kind: "result-store-failed";
      readonly jobId: JobId;
      readonly index: number;
      readonly attemptId: AttemptId | undefined;
      readonly result: ItemResult;
      readonly blobId: string;
      readonly disk: InstanceId;
    }
  /** A job's files were built; without `output` they could not be. */
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
      /** Set where the platform gave it; a peer lists whom it knows. */
      readonly isWhole?: boolean;
    }
  /** A planned stop begins; requests are accepted for `noticeMs` yet. */
  | { readonly kind: "stop-asked"; readonly noticeMs?: number }
  /** The process is about to end after a planned stop. */
  | { readonly kind: "stop-ended" }
  | { readonly kind: "tick" };

/** What the daemon's tasks have to do. */
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
      /** Set where its connection went silent and must not be used again. */
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
      /** Attempt whose answer is the result; absent for an error. */
      readonly attemptId: AttemptId | undefined;
      readonly result: ItemResult;
      /** Result file, and the instances whose disks it has to be on. */
      readonly blobId: string;
      readonly disks: readonly InstanceId[];
    }
  | {
      readonly kind: "answer-job";
      readonly offerId: string;
      readonly answer: OfferAnswer;
    }
  /** Build the output and error files of a job whose items have ended. */
  | {
      readonly kind: "build-output";
      readonly spec: JobSpec;
      readonly segments: readonly EndedSegment[];
    }
  /** The job ended and its files stand: its results need no keeping. */
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
  /** Starts or ends the watch of the configuration in the store. */
  | { readonly kind: "watch-config"; readonly isHeld: boolean }
  /** A higher revision is in force; kept where there is a disk. */
  | { readonly kind: "keep-config"; readonly config: Config }
  | { readonly kind: "record-run"; readonly run: RunRecord };

/** The state after an event, and what is to be done. */
export type Step = {
  readonly state: InstanceState;
  readonly effects: readonly Effect[];
};
