/** Messages between instances as they are sent over the wire. */
import type { InstanceId, PeerMessage } from "@gooseberryline/core";

/** A peer message with its sender and its position in the stream. */
export type PeerDelivery = {
  readonly from: InstanceId;
  /** Identifies the start of the sender's process. */
  readonly incarnation: string;
  /** Position in its stream, from 1. */
  readonly sequence: number;
  readonly message: PeerMessage;
};

/** A received message, or why it can't be passed to the core. */
export type DecodedEnvelope =
  | { readonly kind: "message"; readonly delivery: PeerDelivery }
  | { readonly kind: "unknown-kind"; readonly name: string }
  | { readonly kind: "broken"; readonly detail: string };

/** Kinds of query that a peer or an operator's report sends to an instance. */
export type QuestionKind =
  | "members"
  | "config"
  | "status"
  | "runs"
  | "keep-runs"
  | "jobs"
  | "burn";
