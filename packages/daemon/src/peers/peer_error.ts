/** Why a call of a peer failed. */
export type PeerFaultKind = "unknown-peer" | "unreachable" | "refused";

/** A failed call of a peer, with the step and the peer. */
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
