/** What the caller interface knows of a request while it is answered. */
import type {
  CustomerConfig,
  CustomerId,
  KeyId,
  ProfileConfig,
  ProfileName,
  RunCertainty,
} from "@gooseberryline/core";

/** Who calls, by the tenant key that came with the request. */
export type Caller = {
  readonly customerId: CustomerId;
  readonly keyId: KeyId;
  readonly customer: CustomerConfig;
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
