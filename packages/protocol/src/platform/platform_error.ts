/** Why a platform call failed. */
export type PlatformFault =
  /** No usable answer arrived: a write may have taken effect. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** Rejected by the service before it did anything. */
  | { readonly kind: "rate-limited"; readonly retryAfterMs: number };

/**
 * A failed platform call; `step` is the path of the call and `peer` the base
 * URL of the service.
 */
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
