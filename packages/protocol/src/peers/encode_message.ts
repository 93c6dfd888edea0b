import type { Envelope } from "../generated/gooseberryline/Envelope.ts";
import type { PeerDelivery } from "./types.ts";

/** Encodes a peer message of any kind as an envelope. */
export function encodeMessage(delivery: PeerDelivery): Envelope {
  const { kind, ...fields } = delivery.message;
  return {
    from: delivery.from,
    incarnation: delivery.incarnation,
    sequence: delivery.sequence,
    kind,
    json: JSON.stringify(fields),
  };
}
