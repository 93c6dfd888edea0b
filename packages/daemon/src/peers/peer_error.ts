/** Reason why a call to a peer failed. */
export type PeerFaultKind = "unknown-peer" | "unreachable" | "refused";

/** Error of a failed call to a peer, with the failed step and the peer. */
export class PeerError extends Error {
  readonly kind: PeerFaultKind;
  readonly step: string;
  readonly peer: string;

  constructor(
    kind: PeerFaultKind,
    { step, peer, detail }: { step: string; peer: string; detail: string },
  ) {
    super(`peer ${peer} ${kind} at ${step}: ${detail}`);
    this.kind = kind;
    this.step = step;
    this.peer = peer;
  }
}
