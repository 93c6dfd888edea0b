/** Messages between instances as they go over the wire. */
import type { InstanceId, PeerMessage } from "@gooseberryline/core";

/** A peer message with its sender. */
export type PeerDelivery = {
  readonly from: InstanceId;
  /** Start of the sender's process that sent it. */
  readonly incarnation: string;
  /** Place in its stream, from 1. */
  readonly sequence: number;
  readonly message: PeerMessage;
};

/** A message as received, or why it can't be handed to the core. */
export type DecodedEnvelope =
  | { readonly kind: "message"; readonly delivery: PeerDelivery }
  | { readonly kind: "unknown-kind"; readonly name: string }
  | { readonly kind: "broken"; readonly detail: string };

/** What an instance can be asked for, by a peer or an operator's report. */
export type QuestionKind =
  | "members"
  | "config"
  | "status"
  | "runs"
  | "keep-runs"
  | "jobs"
  | "burn";
