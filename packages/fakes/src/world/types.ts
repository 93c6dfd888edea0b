/** Many instances of the real core in one process, under virtual time. */
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
  /** Instances with a disk; absent, all keep results and none its config. */
  readonly disks?: readonly string[];
  /** Instances in each data centre. */
  readonly instances: Readonly<Record<string, number>>;
  /** Delay between two data centres, one way, milliseconds. */
  readonly delayMs?: number;
  readonly engine?: Partial<EngineModel>;
  /** Changes of the product's policy, for baselines of measurements. */
  readonly policy?: Partial<Policy>;
  /** Instances know nothing of the engines at the start, and ramp them. */
  readonly isCold?: boolean;
  /** Stands in for the core's own step, to break it on purpose. */
  readonly step?: typeof stepInstance;
};

/** One item's result as it stands on a disk. */
export type StoredLine = {
  readonly index: number;
  readonly result: ItemResult;
};

/** How a virtual engine behaves. */
export type EngineModel = {
  /** Time to the first token of an unloaded engine. */
  readonly firstTokenMs: number;
  /** Time between tokens of an unloaded engine. */
  readonly tokenMs: number;
  /** Requests that run at once before each slows the others in full. */
  readonly slots: number;
  /** Requests that a cold engine bears; more crash it. */
  readonly coldSlots: number;
  /** Completions after which a cold engine is warm. */
  readonly warmAfter: number;
};

/** Faults of one virtual engine. */
export type EngineFault = {
  /** Takes requests and never answers. */
  readonly isSilent: boolean;
  /** Refuses connections. */
  readonly isDown: boolean;
  /** Share of answers that end early. */
  readonly cutShare: number;
};

/** One run of work at an engine, as the engine saw it. */
export type EngineRun = {
  readonly attemptId: AttemptId;
  readonly workId: WorkId;
  readonly upstreamId: UpstreamId;
  readonly instanceId: InstanceId;
  readonly order: WorkOrder | undefined;
  readonly startedMs: number;
  /** Undefined while it runs. */
  readonly endedMs: number | undefined;
  readonly isWhole: boolean;
};

/** How one online request went, as its caller saw it. */
export type CallerView = {
  readonly order: WorkOrder;
  readonly instanceId: InstanceId;
  readonly arrivedMs: number;
  readonly firstTokenMs: number | undefined;
  readonly endedMs: number | undefined;
  readonly end:
    | { readonly kind: "answered" }
    | { readonly kind: "refused"; readonly refusal: Refusal }
    /** Its instance was lost. */
    | { readonly kind: "lost" }
    /** The caller went away. */
    | { readonly kind: "abandoned" }
    | undefined;
};

/** Requests of a customer that one step of an instance admitted. */
export type Admission = {
  readonly customer: string;
  readonly instanceId: InstanceId;
  readonly count: number;
  readonly atMs: number;
};

/** One process of the world. */
export type WorldNode = {
  state: InstanceState;
  readonly id: InstanceId;
  readonly dataCentre: DataCentreId;
  isAlive: boolean;
  /** While paused, events wait here and time passes unseen. */
  isPaused: boolean;
  readonly held: InstanceEvent[];
  /** Attempts whose answers this process still listens to. */
  readonly listening: Set<AttemptId>;
};
