import { randomUUID } from "node:crypto";
import {
  hashText,
  LANES,
  type ServiceName,
  type WorkId,
  type WorkOrder,
} from "@gooseberryline/core";
import type { Caller, ChosenProfile } from "./types.ts";

const PREFIX_CHARS = 256;
const CHARS_PER_TOKEN = 4;
const DEFAULT_ANSWER_TOKENS = 256;

/** Builds the core's order for an online request. */
export function buildOrder(
  caller: Caller,
  { name, profile }: ChosenProfile,
  request: {
    readonly service: string;
    readonly text: string;
    readonly maxTokens: number | undefined;
    readonly deadlineHeader: string;
    readonly nowMs: number;
  },
): WorkOrder {
  const promptTokens = Math.ceil(request.text.length / CHARS_PER_TOKEN);
  const askedMs = Number.parseInt(request.deadlineHeader, 10);
  const allowedMs = Number.isFinite(askedMs)
    ? Math.min(Math.max(askedMs, 0), profile.deadlineMs)
    : profile.deadlineMs;
  return {
    workId: randomUUID() as string as WorkId,
    origin: { kind: "request" },
    lane: LANES.ONLINE,
    customer: caller.customerId,
    keyId: caller.keyId,
    profile: name,
    service: request.service as ServiceName,
    isIdempotent: profile.idempotent,
    costTokens: promptTokens + (request.maxTokens ?? DEFAULT_ANSWER_TOKENS),
    prefixHash: hashText(request.text.slice(0, PREFIX_CHARS)),
    deadlineMs: request.nowMs + allowedMs,
  };
}
