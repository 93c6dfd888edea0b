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

/** A batch job of a virtual fleet. */
export type BatchOrder = {
  readonly name: string;
  readonly itemCount: number;
  readonly customer?: string;
  readonly inputHash?: string;
  readonly isIdempotent?: boolean;
  readonly at?: InstanceId | undefined;
};

/** Offers a job to an instance of the world, the first one by default. */
export function offerBatch(world: World, order: BatchOrder): JobSpec {
  const customer = order.customer ?? "c1";
  const isIdempotent = order.isIdempotent ?? true;
  const spec: JobSpec = {
    jobId: order.name as JobId,
    customer: customer as CustomerId,
    keyId: `${customer}-key` as KeyId,
    profile: (isIdempotent ? "counter" : "charge") as ProfileName,
    service: "letterdesk-llm" as ServiceName,
    isIdempotent,
    itemCount: order.itemCount,
    itemCostTokens: 50,
    createdMs: world.nowMs,
    dueMs: world.nowMs + HOUR_MS,
    inputDisks: [],
    inputHash: order.inputHash ?? "input",
    about: {},
  };
  const at = order.at ?? world.instanceIds[0];
  if (at !== undefined) {
    const offerId = `${order.name}-${spec.inputHash}-${at}`;
    world.post(at, { kind: "job-offered", offerId, spec });
  }
  return spec;
}
