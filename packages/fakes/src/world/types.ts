/** Types of the simulation of instances of the core under virtual time. */
import type {
  AttemptId,
  ConfigDocument,
  DataCentreId,
  InstanceEvent,
  InstanceId,
  InstanceState,
  ItemResult,
  Policy,
  Refusal,
  stepInstance,
  UpstreamId,
  WorkId,
  WorkOrder,
} from "@gooseberryline/core";

export type WorldOptions = {
  readonly seed: number;
  readonly document: ConfigDocument;
  /**
   * IDs of instances with a disk. If absent, all store results and none
   * stores its configuration.
   */
  readonly disks?: readonly string[];
  /** Number of instances in each data centre. */
  readonly instances: Readonly<Record<string, number>>;
  /** One-way delay between data centres, in milliseconds. */
  readonly delayMs?: number;
  readonly engine?: Partial<EngineModel>;
  /** Overrides of the default policy, for baselines of measurements. */
  readonly policy?: Partial<Policy>;
  /** Instances start without knowledge of the engines and ramp them up. */
  readonly isCold?: boolean;
  /** Replaces the core's step function, to inject defects. */
  readonly step?: typeof stepInstance;
};

/** The result of an item as stored on a disk. */
export type StoredLine = {
  readonly index: number;
  readonly result: ItemResult;
};

/** Performance model of a virtual engine. */
export type EngineModel = {
  /** Time to the first token without load, in milliseconds. */
  readonly firstTokenMs: number;
  /** Time between tokens without load, in milliseconds. */
  readonly tokenMs: number;
  /** Number of concurrent requests up to which batching is efficient. */
  readonly slots: number;
  /** Number of concurrent requests above which a cold engine crashes. */
  readonly coldSlots: number;
  /** Number of completions after which a cold engine is warm. */
  readonly warmAfter: number;
};

/** Faults that a test can inject into a virtual engine. */
export type EngineFault = {
  /** Accepts requests and never answers. */
  readonly isSilent: boolean;
  /** Refuses connections. */
  readonly isDown: boolean;
  /** Share of answers that are truncated. */
  readonly cutShare: number;
};

/** A request as the engine received it. */
export type EngineRun = {
  readonly attemptId: AttemptId;
  readonly workId: WorkId;
  readonly upstreamId: UpstreamId;
  readonly instanceId: InstanceId;
  readonly order: WorkOrder | undefined;
  readonly startedMs: number;
  /** Undefined while the request is in flight. */
  readonly endedMs: number | undefined;
  readonly isComplete: boolean;
};

/** The course of an online request from its caller's view. */
export type RequestRecord = {
  readonly order: WorkOrder;
  readonly instanceId: InstanceId;
  readonly arrivedMs: number;
  readonly firstTokenMs: number | undefined;
  readonly endedMs: number | undefined;
  readonly end:
    | { readonly kind: "answered" }
    | { readonly kind: "refused"; readonly refusal: Refusal }
    /** The instance that held the request was killed. */
    | { readonly kind: "lost" }
    /** The caller disconnected. */
    | { readonly kind: "abandoned" }
    | undefined;
};

/** Number of a customer's requests admitted in one step of an instance. */
export type Admission = {
  readonly customer: string;
  readonly instanceId: InstanceId;
  readonly count: number;
  readonly atMs: number;
};

/** A simulated process that runs an instance. */
export type WorldNode = {
  state: InstanceState;
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  isAlive: boolean;
  /** While paused, events are deferred and no ticks run. */
  isPaused: boolean;
  readonly held: InstanceEvent[];
  /** IDs of the attempts whose answers the process still accepts. */
  readonly listening: Set<AttemptId>;
};
