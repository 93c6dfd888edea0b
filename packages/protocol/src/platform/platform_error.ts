/** Why a call of the platform failed. */
export type PlatformFault =
  /** No answer: a write may have taken effect. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** Refused by the service before it did anything. */
  | { readonly kind: "rate-limited"; readonly retryAfterMs: number };

/** A failed call of the platform, with the step and the peer. */
export class PlatformError extends Error {
  readonly fault: PlatformFault;
  readonly step: string;
  readonly peer: string;

  constructor(fault: PlatformFault, step: string, peer: string) {
    super(`platform ${fault.kind} at ${step}`);
    this.fault = fault;
    this.step = step;
    this.peer = peer;
  }
}
