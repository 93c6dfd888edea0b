/** Branded id types; an id of one kind cannot be passed in place of another. */
import type { Brand } from "../shared/types.ts";

export type InstanceId = Brand<"InstanceId">;
export type DataCentreId = Brand<"DataCentreId">;
export type CustomerId = Brand<"CustomerId">;
export type KeyId = Brand<"KeyId">;
export type ProfileName = Brand<"ProfileName">;
export type ServiceName = Brand<"ServiceName">;
export type UpstreamId = Brand<"UpstreamId">;
export type WorkId = Brand<"WorkId">;
export type AttemptId = Brand<"AttemptId">;
export type JobId = Brand<"JobId">;
