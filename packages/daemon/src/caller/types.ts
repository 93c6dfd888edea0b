/** Types of the caller API for requests that are being answered. */
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

/** The customer identified by the tenant key of a request. */
export type Caller = {
  readonly customerId: CustomerId;
  readonly keyId: KeyId;
  readonly customer: CustomerConfig;
};

/**
 * The customer that a request runs for, or an anonymous caller of a service
 * open to all.
 */
export type Requester = {
  readonly customerId: CustomerId;
  /** Undefined for services open to all. */
  readonly keyId: KeyId | undefined;
};

/** How a request ended, as seen by its caller. */
export type RequestOutcome =
  | { readonly kind: "answered" }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The caller disconnected before the answer ended. */
  | { readonly kind: "abandoned" };

/** Data that is logged and counted when a request has ended. */
export type RequestReport = {
  readonly requestId: string;
  readonly order: WorkOrder;
  readonly status: number;
  readonly end: RequestOutcome;
  /**
   * Time to the first byte of the answer in milliseconds; undefined if none was
   * sent.
   */
  readonly firstWriteMs: number | undefined;
  readonly totalMs: number;
  /** Upstreams of the request's attempts, in order. */
  readonly upstreams: readonly UpstreamId[];
};

/** The profile of a call or batch: the requested one, or a default. */
export type ChosenProfile = {
  readonly name: ProfileName;
  readonly profile: ProfileConfig;
};

/** JSON body of every refusal. */
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
