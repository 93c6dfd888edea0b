import type {
  CustomerId,
  InstanceId,
  JobId,
  JobSpec,
  KeyId,
  ProfileName,
  ServiceName,
} from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";

const HOUR_MS = 3_600_000;

/** Options of a batch job in the simulated fleet. */
export type BatchOptions = {
  readonly name: string;
  readonly itemCount: number;
  readonly customer?: string;
  readonly inputHash?: string;
  readonly isIdempotent?: boolean;
  readonly at?: InstanceId | undefined;
};

/** Offers a job to an instance of the simulated fleet, by default the first. */
export function offerBatch(world: World, options: BatchOptions): JobSpec {
  const customer = options.customer ?? "c1";
  const isIdempotent = options.isIdempotent ?? true;
  const spec: JobSpec = {
    jobId: options.name as JobId,
    customer: customer as CustomerId,
    keyId: `${customer}-key` as KeyId,
    profile: (isIdempotent ? "counter" : "charge") as ProfileName,
    service: "letterdesk-llm" as ServiceName,
    isIdempotent,
    itemCount: options.itemCount,
    itemCostTokens: 50,
    createdMs: world.nowMs,
    dueMs: world.nowMs + HOUR_MS,
    inputDisks: [],
    inputHash: options.inputHash ?? "input",
    about: {},
  };
  const at = options.at ?? world.instanceIds[0];
  if (at !== undefined) {
    const offerId = `${options.name}-${spec.inputHash}-${at}`;
    world.dispatch(at, { kind: "job-offered", offerId, spec });
  }
  return spec;
}
