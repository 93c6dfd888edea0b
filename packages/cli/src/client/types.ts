/** Answers of the administration API that the tool reads. */
import type { BurnRow, ConfigDocument } from "@gooseberryline/core";

export type ConfigAnswer = {
  readonly revision: number;
  readonly document: ConfigDocument;
};

export type BurnAnswer = {
  readonly atMs: number;
  readonly rows: readonly BurnRow[];
  readonly reached: readonly string[];
  readonly missing: readonly string[];
};

export type InstanceStatus = {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly revision: number;
  readonly isStopping: boolean;
  readonly inFlight: number;
  readonly queued: number;
  readonly jobs: number;
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

export type StatusAnswer = {
  readonly instances: readonly InstanceStatus[];
  readonly missing: readonly string[];
};

export type JobAnswer = {
  readonly spec: {
    readonly jobId: string;
    readonly customer: string;
    readonly profile: string;
    readonly itemCount: number;
    readonly dueMs: number;
  };
  readonly status: string;
  readonly completed: number;
  readonly failed: number;
};

export type RunAnswer = {
  readonly workId: string;
  readonly attemptId: string;
  readonly customer: string;
  readonly profile: string;
  readonly upstreamId: string;
  readonly configRevision: number;
  readonly startedMs: number;
  readonly endedMs: number;
  readonly outcome: string;
  readonly instanceId: string;
};
