/** What the caller interface knows of a request while it is answered. */
import type {
  CustomerConfig,
  CustomerId,
  KeyId,
  ProfileConfig,
  ProfileName,
  Refusal,
  RunCertainty,
  UpstreamId,
  WorkOrder,
} from "@gooseberryline/core";

/** Who calls, by the tenant key that came with the request. */
export type Caller = {
  readonly customerId: CustomerId;
  readonly keyId: KeyId;
  readonly customer: CustomerConfig;
};

/** For whom a request runs: a customer, or anyone on a route open to all. */
export type Requester = {
  readonly customerId: CustomerId;
  /** Absent on routes open to all. */
  readonly keyId: KeyId | undefined;
};

/** How a request ended for its caller. */
export type RequestEnd =
  | { readonly kind: "answered" }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The caller went away first. */
  | { readonly kind: "abandoned" };

/** What is logged and counted of a request once it has ended. */
export type RequestReport = {
  readonly requestId: string;
  readonly order: WorkOrder;
  readonly status: number;
  readonly end: RequestEnd;
  /** Time to the first byte of the answer, absent where none was sent. */
  readonly firstWriteMs: number | undefined;
  readonly totalMs: number;
  /** Upstreams of its attempts, in their order. */
  readonly upstreams: readonly UpstreamId[];
};

/** The profile that a request chose, or its customer's default. */
export type ChosenProfile = {
  readonly name: ProfileName;
  readonly profile: ProfileConfig;
};

/** The body of every refusal. */
export type RefusalBody = {
  readonly error: {
    readonly type: string;
    readonly code: string;
    readonly message: string;
    readonly run: RunCertainty;
    readonly step: string;
    readonly peer: string;
    readonly retry_after_ms: number | null;
  };
};
