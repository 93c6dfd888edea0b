import {
  type InstanceId,
  PEER_MESSAGE_KINDS,
  type PeerMessage,
} from "@gooseberryline/core";
import type { Envelope__Output } from "../generated/gooseberryline/Envelope.ts";
import type { DecodedEnvelope } from "./types.ts";

/**
 * Decodes an envelope. A message kind that this build doesn't know is reported
 * as `unknown-kind` and never passed on.
 */
export function decodeMessage(envelope: Envelope__Output): DecodedEnvelope {
  const { from, incarnation, sequence, kind } = envelope;
  if (!Object.hasOwn(PEER_MESSAGE_KINDS, kind)) {
    return { kind: "unknown-kind", name: kind };
  }
  const fields = parseFields(envelope.json);
  if (fields === undefined) {
    return { kind: "broken", detail: `${kind} from ${from}` };
  }
  const message = { ...fields, kind } as PeerMessage;
  const senderId = from as InstanceId;
  return {
    kind: "message",
    delivery: { from: senderId, incarnation, sequence, message },
  };
}

function parseFields(json: string): object | undefined {
  try {
    const value: unknown = JSON.parse(json);
    const isObject = typeof value === "object" && value !== null;
    return isObject && !Array.isArray(value) ? value : undefined;
  } catch {
    return undefined;
  }
}
