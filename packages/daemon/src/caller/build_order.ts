import { createHash, randomUUID } from "node:crypto";
import {
  hashText,
  LANES,
  type ServiceName,
  type WorkId,
  type WorkOrder,
} from "@gooseberryline/core";
import type { ChosenProfile, Requester } from "./types.ts";

const PREFIX_CHARS = 256;
const CLAIM_KEY_CHARS = 32;

/** Builds the work order that the core schedules for an online request. */
export function buildOrder(
  requester: Requester,
  { name, profile }: ChosenProfile,
  request: {
    readonly service: string;
    /** Prompt text; empty for a plain service. */
    readonly text: string;
    readonly costTokens: number;
    /** Time allowed for the complete answer, in milliseconds. */
    readonly allowedMs: number;
    readonly nowMs: number;
    /** Idempotency key of the caller; empty if there is none. */
    readonly idempotencyKey?: string;
  },
): WorkOrder {
  const prefix = request.text.slice(0, PREFIX_CHARS);
  return {
    workId: randomUUID() as string as WorkId,
    origin: { kind: "request" },
    lane: LANES.ONLINE,
    customer: requester.customerId,
    keyId: requester.keyId,
    profile: name,
    service: request.service as ServiceName,
    isIdempotent: profile.idempotent,
    ...buildClaimKey(requester, request.idempotencyKey ?? ""),
    costTokens: request.costTokens,
    prefixHash: prefix === "" ? 0 : hashText(prefix),
    deadlineMs: request.nowMs + request.allowedMs,
  };
}

function buildClaimKey(
  { customerId }: Requester,
  key: string,
): { readonly claimKey?: string } {
  if (key === "") {
    return {};
  }
  const hash = createHash("sha256").update(`${customerId}\n${key}`);
  return { claimKey: hash.digest("hex").slice(0, CLAIM_KEY_CHARS) };
}
