/** Types of the admin API and its reports. */
import type {
  BurnRow,
  InstanceState,
  JobSpec,
  RunRecord,
} from "@gooseberryline/core";
import type { Platform } from "@gooseberryline/protocol";
import type { JobView } from "../jobs/types.ts";
import type { Log } from "../logs/create_log.ts";
import type { Settings } from "../settings/types.ts";

export type Operator = Settings["operators"][number];
export type OperatorRole = Operator["role"];

/** One instance's part of a report. */
export type InstanceAnswer<Body> = {
  readonly instanceId: string;
  readonly body: Body;
};

/** A report collected from instances; `missing` lists the unreachable ones. */
export type Gathered<Body> = {
  readonly answers: readonly InstanceAnswer<Body>[];
  readonly missing: readonly string[];
};

/** Filter for run records. */
export type RunQuery = {
  readonly customer: string | undefined;
  readonly workId: string | undefined;
  /** Inclusive bounds of the time when the attempt ended. */
  readonly fromMs?: number | undefined;
  readonly untilMs?: number | undefined;
  readonly limit: number;
};

/** Status of an instance as shown to operators. */
export type StatusView = {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly revision: number;
  readonly isStopping: boolean;
  readonly inFlight: number;
  readonly queued: number;
  readonly jobs: number;
  readonly members: readonly {
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly revision: number;
    readonly heardAgoMs: number | null;
  }[];
  readonly upstreams: readonly {
    readonly upstreamId: string;
    readonly dataCentre: string;
    readonly service: string;
    readonly inFlight: number;
    readonly allowance: number;
    readonly isLeaving: boolean;
  }[];
  readonly invariantsBroken: Readonly<Record<string, number>>;
};

/** Sources of the reports on one or more instances. */
export type Reports = {
  readonly gatherStatus: () => Promise<Gathered<StatusView>>;
  readonly gatherRuns: (
    query: RunQuery,
  ) => Promise<Gathered<readonly RunRecord[]>>;
  readonly gatherJobs: () => Promise<Gathered<readonly JobView[]>>;
  readonly gatherBurn: () => Promise<Gathered<readonly BurnRow[]>>;
};

export type AdminParts = {
  readonly readState: () => InstanceState;
  readonly operators: readonly Operator[];
  readonly platform: Platform;
  readonly reports: Reports;
  readonly cancelJob: (spec: JobSpec) => void;
  readonly log: Log;
};
